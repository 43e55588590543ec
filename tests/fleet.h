// Test support: runs a fleet of real processes on loopback through scripts/local-fleet, and an HTTP client to call it.
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
    int status = 0; // 0 if no complete response arrived
    std::string error; // libcurl's error message, set if status is 0
    std::string body;
    std::map<std::string, std::string> headers; // keyed by lower-case name

    bool complete() const;

    // Value of the header with this lower-case name, or an empty string.
    std::string header(const std::string &name) const;
};

// HTTP client that reuses its connection (keep-alive). Not thread-safe.
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

// Parses JSON text; returns an empty value if it is invalid.
google::protobuf::Value parseJson(const std::string &text);

// Member of a JSON object, or an empty value if it is absent.
const google::protobuf::Value &field(const google::protobuf::Value &object, const std::string &name);

// A process of the fleet, as listed in fleet.json.
struct Process
{
    std::string name;
    std::string role; // "control", "entry" or "stand-in"
    std::string region;
    std::string httpAddress; // entry hosts: listens for client requests
    std::string operatorAddress; // control hosts: listens for the operator API
    std::string metricsAddress;
    std::string dataFolder;
    int pid = 0;
};

// Starts a fleet in a temporary folder and stops it on destruction. With BANYANLEDGE_KEEP set in the environment, the
// folder with settings, logs and data is kept.
class Fleet
{
public:
    // Starts the fleet and waits until every entry host serves requests. `arguments` are passed to
    // `scripts/local-fleet start`.
    explicit Fleet(const std::string &arguments = "");
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    std::vector<Process> processes(const std::string &role) const;
    const Process &process(const std::string &name) const;

    // Addresses of the stand-in backend servers.
    std::vector<std::string> serverAddresses() const;
    std::string serverAddress(const std::string &id) const;

    // Total number of requests in progress on the stand-in backend servers.
    unsigned requestsInFlight() const;

    void signal(const std::string &name, int number) const; // e.g. SIGKILL, SIGSTOP, SIGCONT, SIGTERM

    // Waits until the process has exited, for at most 60 s.
    void waitForExit(const std::string &name) const;

    // Starts an exited process again, with the same command and data folder.
    void restart(const std::string &name);

    // Network partition of a control host: drops all bytes on connections that others opened to it, in both directions,
    // while the connections stay open. Connections that the host itself opens still work. Needs a fleet started with
    // --relays.
    void partition(const std::string &name) const;
    void heal(const std::string &name) const;
    void clearDataFolder(const std::string &name) const;

    std::string customerKey() const; // API key of the customer "demo"
    std::string folder() const;

    // Sends a request, whose `url` is only a path, to the operator API of one control host.
    HttpReply callControl(HttpClient &client, const Process &control, HttpRequest request) const;

    // Tries the control hosts in turn, with one change id, until one replies with a status other than 503.
    HttpReply callAnyControl(HttpClient &client, HttpRequest request) const;

    // Name of the control host that reports to be the leader, empty if none does.
    std::string leader() const;

    // Calls `change` for each host in the platform's list of hosts and publishes the changed list.
    void editPlatformHosts(const std::function<void(google::protobuf::Value &host)> &change) const;

private:
    void loadFleetFile();
    void sendRelayCommand(const std::string &path, const std::string &name) const;

    std::string m_folder;
    std::string m_token;
    std::string m_relayAdmin;
    std::string m_customerKey;
    std::map<std::string, Process> m_processes;
    std::map<std::string, std::string> m_servers; // addresses by server id
};

// Polls until the condition holds; returns false if it does not within the timeout.
bool waitUntil(const std::function<bool()> &condition, milliseconds timeout = milliseconds(30000));

} // namespace banyanledge::testing
