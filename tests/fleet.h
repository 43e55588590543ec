// A fleet of real processes on loopback for tests, started by scripts/local-fleet.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <google/protobuf/struct.pb.h>

#include "base/types.h"

namespace banyanledge::testing
{

struct HttpRequest
{
    std::string method = "GET";
    std::string url;
    std::string body;
    std::map<std::string, std::string> headers;
    milliseconds timeout{10000};
};

struct HttpReply
{
    int status = 0; // 0 when no complete answer came
    std::string error; // libcurl's reason then
    std::string body;
    std::map<std::string, std::string> headers; // lower-case names

    bool complete() const;
    std::string header(const std::string &name) const;
};

// Keeps its connection between calls, like a caller with keep-alive. For one thread.
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    HttpReply send(const HttpRequest &request);

private:
    void *m_curl;
};

// JSON text as protobuf's generic value; an empty value when it cannot be parsed.
google::protobuf::Value parseJson(const std::string &text);

// Member of a JSON object, empty value when absent.
const google::protobuf::Value &field(const google::protobuf::Value &object, const std::string &name);

struct Process
{
    std::string name;
    std::string role; // control, entry or stand-in
    std::string region;
    std::string httpAddress; // entry: callers' address
    std::string operatorAddress; // control: operators' address
    std::string metricsAddress;
    std::string dataFolder;
    int pid = 0;
};

class Fleet
{
public:
    // Starts the fleet and waits until every entry host serves. `arguments` go to scripts/local-fleet start.
    explicit Fleet(const std::string &arguments = "");
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    std::vector<Process> processes(const std::string &role) const;
    const Process &process(const std::string &name) const;
    std::vector<std::string> serverAddresses() const;
    std::string serverAddress(const std::string &id) const;

    // Requests that the stand-in backend servers run at present.
    unsigned requestsInFlight() const;

    void signal(const std::string &name, int number) const; // e.g. SIGKILL, SIGSTOP, SIGCONT, SIGTERM
    void waitForExit(const std::string &name) const;
    void restart(const std::string &name);

    // Cuts a control host off silently: nothing that other hosts send it arrives, nor its answers to them. Needs a
    // fleet started with --relays.
    void cut(const std::string &name) const;
    void heal(const std::string &name) const;
    void emptyDataFolder(const std::string &name) const;

    std::string customerKey() const; // of the customer "demo"
    std::string folder() const;

    // Operators' call on one control host, or on each in turn until one answers other than 503.
    HttpReply callControl(HttpClient &client, const Process &control, HttpRequest request) const;
    HttpReply callAnyControl(HttpClient &client, const HttpRequest &request) const;

    // Name of the control host that leads, empty if none.
    std::string leader() const;

    // Replaces the platform's list after `change` edited its hosts by id.
    void editPlatform(const std::function<void(google::protobuf::Value &host)> &change) const;

private:
    void read();
    void setRelay(const std::string &path, const std::string &name) const;

    std::string m_folder;
    std::string m_token;
    std::string m_relayAdmin;
    std::string m_key;
    std::map<std::string, Process> m_processes;
    std::map<std::string, std::string> m_servers; // id to address
};

// Polls until the condition holds; false after the timeout.
bool waitUntil(const std::function<bool()> &condition, milliseconds timeout = milliseconds(30000));

} // namespace banyanledge::testing
