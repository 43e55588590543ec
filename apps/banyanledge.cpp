// banyanledge, the command line program for operators.
#include <getopt.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "apps/commands.h"
#include "base/settings.h"

using namespace banyanledge;

namespace
{

constexpr const char *commonHelp =
    "Options of every command:\n"
    "  -s, --server LIST       IP:PORT of the operator interface of control hosts, comma-separated\n"
    "  -t, --token-file FILE   file with the operator's token\n"
    "  -j, --json              print JSON\n"
    "      --change-id ID      id of the change; if its outcome is unknown, repeat the command with the same id\n"
    "  -h, --help              show this help and exit\n"
    "  -V, --version           show the version and exit\n"
    "\n"
    "Exit codes: 0 success, 1 rejected, 2 usage error, 3 conflict with another change, 4 unavailable\n"
    "(no control host could process the request; the change may or may not have been applied).\n";

// Options of the commands; each takes a value. The index is part of the option code, see OptionFirstValue.
constexpr const char *valueOptions[] = {
    "weight", "rate",           "burst", "max-in-flight", "open", "expected-version",
    "cap",    "cap-per-second", "id",    "after",         "limit"};

enum OptionCode {
    OptionChangeId = 256,
    OptionFirstValue = 512, // plus an index into valueOptions
};

struct Arguments
{
    std::vector<std::string> words;
    std::map<std::string, std::string> options;
    std::string servers;
    std::string tokenFile;
    std::string changeId;
    bool json = false;
    bool help = false;
    bool version = false;
    bool hasInvalidOption = false;
};

Arguments parseArguments(int argc, char **argv)
{
    std::vector<option> options{
        {"server", required_argument, nullptr, 's'}, {"token-file", required_argument, nullptr, 't'},
        {"json", no_argument, nullptr, 'j'},         {"change-id", required_argument, nullptr, OptionChangeId},
        {"help", no_argument, nullptr, 'h'},         {"version", no_argument, nullptr, 'V'},
    };
    int code = OptionFirstValue;
    for (const char *name : valueOptions) {
        options.push_back({name, required_argument, nullptr, code++});
    }
    options.push_back({nullptr, 0, nullptr, 0});
    Arguments arguments;
    for (int found = 0; (found = getopt_long(argc, argv, "s:t:jhV", options.data(), nullptr)) != -1;) {
        if (found >= OptionFirstValue) {
            arguments.options[valueOptions[found - OptionFirstValue]] = optarg;
        } else if (found == 's') {
            arguments.servers = optarg;
        } else if (found == 't') {
            arguments.tokenFile = optarg;
        } else if (found == OptionChangeId) {
            arguments.changeId = optarg;
        } else {
            arguments.json = arguments.json || found == 'j';
            arguments.help = arguments.help || found == 'h';
            arguments.version = arguments.version || found == 'V';
            arguments.hasInvalidOption = arguments.hasInvalidOption || found == '?';
        }
    }
    arguments.words.assign(argv + optind, argv + argc);
    return arguments;
}

std::string synopsis(const CommandSpec &spec)
{
    std::string text;
    for (const auto *words : {&spec.words, &spec.operands}) {
        for (const std::string &word : *words) {
            text += (text.empty() ? "" : " ") + word;
        }
    }
    return text;
}

void printHelp(const CommandSpec *spec, std::ostream &out)
{
    if (spec != nullptr) {
        out << "Usage: banyanledge " << synopsis(*spec);
        for (const std::string &name : spec->options) {
            out << " [--" << name << " VALUE]";
        }
        out << "\n\n" << spec->help << "\n\n" << commonHelp;
        return;
    }
    out << "Usage: banyanledge --server LIST --token-file FILE COMMAND\n\nCommands:\n";
    for (const auto &known : commandSpecs()) {
        out << "  " << synopsis(known) << "\n      " << known.help << "\n";
    }
    out << "\n" << commonHelp;
}

int usageError(const CommandSpec *spec, const std::string &message)
{
    std::cerr << "banyanledge: " << message << "; see banyanledge "
              << (spec != nullptr ? synopsis(*spec) + " " : std::string()) << "--help\n";
    return ExitUsage;
}

// Describes what is wrong with the arguments of a command; empty if they are valid.
std::string argumentError(const CommandSpec &spec, const Arguments &arguments)
{
    const std::size_t operands = arguments.words.size() - spec.words.size();
    if (operands != spec.operands.size()) {
        return "expected " + std::to_string(spec.operands.size()) + " operands, got " + std::to_string(operands);
    }
    for (const auto &[name, value] : arguments.options) {
        if (std::find(spec.options.begin(), spec.options.end(), name) == spec.options.end()) {
            return "--" + name + " is not an option of this command";
        }
    }
    if (arguments.servers.empty()) {
        return "--server is missing";
    }
    return arguments.tokenFile.empty() ? "--token-file is missing" : "";
}

std::optional<OperatorClient::Options> clientOptions(const Arguments &arguments)
{
    OperatorClient::Options options;
    std::istringstream list(arguments.servers);
    for (std::string server; std::getline(list, server, ',');) {
        if (!isAddress(server)) {
            return fail(proto::ERROR_INVALID, "--server: '" + server + "' is not IP:PORT");
        }
        options.servers.push_back(server);
    }
    std::ifstream file(arguments.tokenFile);
    if (!(file >> options.token)) {
        return fail(proto::ERROR_IO, "--token-file: cannot read a token from " + arguments.tokenFile);
    }
    return options;
}

int runCommand(const CommandSpec &spec, const Arguments &arguments)
{
    const std::string error = argumentError(spec, arguments);
    if (!error.empty()) {
        return usageError(&spec, error);
    }
    const auto options = clientOptions(arguments);
    if (!options) {
        return usageError(&spec, lastError().message);
    }
    const OperatorClient client(*options);
    Invocation invocation;
    invocation.operands.assign(arguments.words.begin() + static_cast<std::ptrdiff_t>(spec.words.size()),
                               arguments.words.end());
    invocation.options = arguments.options;
    invocation.json = arguments.json;
    invocation.changeId = arguments.changeId;
    invocation.client = &client;
    return spec.run(invocation);
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = parseArguments(argc, argv);
    const CommandSpec *spec = findCommand(arguments.words);
    if (arguments.hasInvalidOption) {
        return usageError(spec, "invalid option");
    }
    if (arguments.help) {
        printHelp(spec, std::cout);
        return ExitOk;
    }
    if (arguments.version) {
        std::cout << "banyanledge " << BANYAN_VERSION << "\n";
        return ExitOk;
    }
    if (spec == nullptr) {
        return usageError(nullptr,
                          arguments.words.empty() ? "no command given" : "unknown command " + arguments.words[0]);
    }
    return runCommand(*spec, arguments);
}
