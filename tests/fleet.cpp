#include "tests/fleet.h"

#include <curl/curl.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace banyanledge::testing
{

namespace
{

constexpr milliseconds pollInterval{10};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

std::size_t parseHeader(char *data, std::size_t size, std::size_t count, void *target)
{
    const std::string line(data, size * count);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto valueBegin = line.find_first_not_of(" \t", colon + 1);
        const auto valueLast = line.find_last_not_of("\r\n \t");
        auto &headers = *static_cast<std::map<std::string, std::string> *>(target);
        headers[name] = valueBegin == std::string::npos || valueBegin > valueLast
            ? ""
            : line.substr(valueBegin, valueLast - valueBegin + 1);
    }
    return size * count;
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::string localFleetScript()
{
    return std::string(BANYANLEDGE_SOURCE_DIR) + "/scripts/local-fleet";
}

void runCommand(const std::string &command)
{
    if (std::system(command.c_str()) != 0) { // NOLINT(concurrency-mt-unsafe)
        throw std::runtime_error("command failed: " + command);
    }
}

} // namespace

bool HttpReply::complete() const
{
    return status != 0;
}

std::string HttpReply::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found != headers.end() ? found->second : std::string();
}

HttpClient::HttpClient()
{
    static std::once_flag initialized;
    std::call_once(initialized, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    m_curl = curl_easy_init();
}

HttpClient::~HttpClient()
{
    curl_easy_cleanup(m_curl);
}

HttpReply HttpClient::send(const HttpRequest &request)
{
    HttpReply reply;
    curl_easy_reset(m_curl);
    curl_slist *headers = nullptr;
    for (const auto &[name, value] : request.headers) {
        std::string line = name;
        line += ": ";
        line += value;
        headers = curl_slist_append(headers, line.c_str());
    }
    headers = curl_slist_append(headers, "Expect:"); // keeps libcurl from sending Expect: 100-continue
    curl_easy_setopt(m_curl, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(m_curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (!request.body.empty()) {
        curl_easy_setopt(m_curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(m_curl, CURLOPT_POSTFIELDS, request.body.c_str());
    }
    curl_easy_setopt(m_curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(m_curl, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(m_curl, CURLOPT_WRITEDATA, &reply.body);
    curl_easy_setopt(m_curl, CURLOPT_HEADERFUNCTION, parseHeader);
    curl_easy_setopt(m_curl, CURLOPT_HEADERDATA, &reply.headers);
    curl_easy_setopt(m_curl, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(m_curl, CURLOPT_NOSIGNAL, 1L);
    const CURLcode code = curl_easy_perform(m_curl);
    curl_slist_free_all(headers);
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(m_curl, CURLINFO_RESPONSE_CODE, &status);
        reply.status = static_cast<int>(status);
    } else {
        reply.error = curl_easy_strerror(code);
    }
    return reply;
}

google::protobuf::Value parseJson(const std::string &text)
{
    google::protobuf::Value value;
    if (!google::protobuf::util::JsonStringToMessage(text, &value).ok()) {
        value.Clear();
    }
    return value;
}

const google::protobuf::Value &field(const google::protobuf::Value &object, const std::string &name)
{
    static const google::protobuf::Value empty;
    const auto &fields = object.struct_value().fields();
    const auto found = fields.find(name);
    return found != fields.end() ? found->second : empty;
}

Fleet::Fleet(const std::string &arguments)
{
    std::string folderTemplate = (std::filesystem::temp_directory_path() / "banyanledge-XXXXXX").string();
    if (mkdtemp(folderTemplate.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder for the fleet");
    }
    m_folder = folderTemplate;
    runCommand(localFleetScript() + " start " + m_folder + " --build " + BANYANLEDGE_BUILD_DIR + " " + arguments
               + " > /dev/null");
    loadFleetFile();
}

Fleet::~Fleet()
{
    try {
        runCommand(localFleetScript() + " stop " + m_folder);
        if (std::getenv("BANYANLEDGE_KEEP") == nullptr) { // NOLINT(concurrency-mt-unsafe)
            std::filesystem::remove_all(m_folder);
        }
    } catch (const std::exception &) {
        // Keeps the folder for inspection if the fleet cannot be stopped.
    }
}

void Fleet::loadFleetFile()
{
    const auto fleetFile = parseJson(readFile(m_folder + "/fleet.json"));
    m_token = field(fleetFile, "token").string_value();
    m_customerKey = field(field(fleetFile, "customer"), "key").string_value();
    for (const auto &value : field(fleetFile, "processes").list_value().values()) {
        Process process;
        process.name = field(value, "name").string_value();
        process.role = field(value, "role").string_value();
        process.region = field(value, "region").string_value();
        process.httpAddress = field(value, "http").string_value();
        process.operatorAddress = field(value, "operators").string_value();
        process.metricsAddress = field(value, "metrics").string_value();
        process.dataFolder = field(value, "data_folder").string_value();
        process.pid = static_cast<int>(field(value, "pid").number_value());
        m_processes[process.name] = process;
        if (!field(value, "relay_admin").string_value().empty()) {
            m_relayAdmin = field(value, "relay_admin").string_value();
        }
    }
    for (const auto &value : field(fleetFile, "servers").list_value().values()) {
        m_servers[field(value, "id").string_value()] = field(value, "address").string_value();
    }
}

std::vector<Process> Fleet::processes(const std::string &role) const
{
    std::vector<Process> result;
    for (const auto &[name, process] : m_processes) {
        if (process.role == role) {
            result.push_back(process);
        }
    }
    return result;
}

const Process &Fleet::process(const std::string &name) const
{
    return m_processes.at(name);
}

std::vector<std::string> Fleet::serverAddresses() const
{
    std::vector<std::string> result;
    for (const auto &[id, address] : m_servers) {
        result.push_back(address);
    }
    return result;
}

std::string Fleet::serverAddress(const std::string &id) const
{
    return m_servers.at(id);
}

unsigned Fleet::requestsInFlight() const
{
    HttpClient client;
    double count = 0;
    for (const auto &[id, address] : m_servers) {
        const auto state = parseJson(client.send({.url = "http://" + address + "/_state"}).body);
        count += field(state, "in_flight").number_value();
    }
    return static_cast<unsigned>(count);
}

void Fleet::signal(const std::string &name, int number) const
{
    ::kill(process(name).pid, number);
}

void Fleet::waitForExit(const std::string &name) const
{
    // The process is not a child of this one (the script that started it has exited), so /proc is polled. A missing
    // file or state Z (zombie) means that it has exited. The state follows the name, which is in parentheses.
    const int pid = process(name).pid;
    waitUntil(
        [pid] {
            const std::string stat = readFile("/proc/" + std::to_string(pid) + "/stat");
            const auto nameEnd = stat.rfind(')');
            return nameEnd == std::string::npos || stat.size() < nameEnd + 3 || stat[nameEnd + 2] == 'Z';
        },
        milliseconds(60000));
}

void Fleet::restart(const std::string &name)
{
    runCommand(localFleetScript() + " run " + m_folder + " " + name + " > /dev/null");
    loadFleetFile();
}

void Fleet::partition(const std::string &name) const
{
    sendRelayCommand("/cut", name);
}

void Fleet::heal(const std::string &name) const
{
    sendRelayCommand("/heal", name);
}

void Fleet::sendRelayCommand(const std::string &path, const std::string &name) const
{
    HttpClient client;
    HttpRequest request;
    request.url = "http://" + m_relayAdmin + path + "?name=" + name;
    if (client.send(request).status != 200) {
        throw std::runtime_error("cannot switch the relay of " + name);
    }
}

void Fleet::clearDataFolder(const std::string &name) const
{
    for (const auto &entry : std::filesystem::directory_iterator(process(name).dataFolder)) {
        std::filesystem::remove_all(entry.path());
    }
}

std::string Fleet::customerKey() const
{
    return m_customerKey;
}

std::string Fleet::folder() const
{
    return m_folder;
}

HttpReply Fleet::callControl(HttpClient &client, const Process &control, HttpRequest request) const
{
    request.url = "http://" + control.operatorAddress + request.url;
    request.headers["Authorization"] = "Bearer " + m_token;
    if (!request.body.empty()) {
        request.headers["Content-Type"] = "application/json";
    }
    return client.send(request);
}

HttpReply Fleet::callAnyControl(HttpClient &client, HttpRequest request) const
{
    if (request.method != "GET") {
        // The next control host returns the result of an attempt that took effect although its reply was lost.
        request.headers.try_emplace("Banyanledge-Change-Id", std::to_string(randomId()));
    }
    HttpReply reply;
    for (const Process &control : processes("control")) {
        reply = callControl(client, control, request);
        if (reply.complete() && reply.status != 503) {
            break;
        }
    }
    return reply;
}

std::string Fleet::leader() const
{
    HttpClient client;
    for (const Process &control : processes("control")) {
        const HttpReply reply = callControl(client, control, {.url = "/v1/status", .timeout = milliseconds(1000)});
        const auto status = parseJson(reply.body);
        if (reply.status == 200 && field(status, "role").string_value() == "leader") {
            return control.name;
        }
    }
    return {};
}

void Fleet::editPlatformHosts(const std::function<void(google::protobuf::Value &host)> &change) const
{
    const std::string path = m_folder + "/platform.json";
    auto hostList = parseJson(readFile(path));
    auto &hosts = *(*hostList.mutable_struct_value()->mutable_fields())["hosts"].mutable_list_value();
    for (auto &host : *hosts.mutable_values()) {
        change(host);
    }
    std::string text;
    google::protobuf::util::MessageToJsonString(hostList, &text);
    // Replaced atomically, because the stand-in may read the file at any time.
    std::ofstream(path + ".new", std::ios::binary) << text;
    std::filesystem::rename(path + ".new", path);
}

bool waitUntil(const std::function<bool()> &condition, milliseconds timeout)
{
    const Time deadline = Clock::now() + timeout;
    while (!condition()) {
        if (Clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace banyanledge::testing
