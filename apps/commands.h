// Commands of the banyanledge program, such as "customer create".
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "apps/client.h"

namespace banyanledge
{

enum ExitCode {
    ExitOk = 0,
    ExitRejected = 1,
    ExitUsage = 2,
    ExitConflict = 3,
    ExitUnavailable = 4,
};

// Arguments of a command and the client that sends its requests.
struct Invocation
{
    std::vector<std::string> operands;
    std::map<std::string, std::string> options; // values of the command's options by long name
    bool json = false;
    std::string changeId; // empty: a random id is used
    const OperatorClient *client = nullptr;
};

struct CommandSpec
{
    std::vector<std::string> words; // e.g. "customer", "create"
    std::vector<std::string> operands; // names of the operands in the help
    std::vector<std::string> options; // long names of accepted options
    std::string help;
    int (*run)(const Invocation &); // returns the exit code
};

const std::vector<CommandSpec> &commandSpecs();

// Command whose name the words begin with; nullptr if there is none.
const CommandSpec *findCommand(const std::vector<std::string> &words);

} // namespace banyanledge
