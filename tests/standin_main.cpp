// Runs stand-ins for backend servers and for the platform's list of hosts, and relays, in one process.
#include <getopt.h>

#include <csignal>
#include <iostream>
#include <thread>

#include "tests/standin.h"

using namespace banyanledge::standin;

namespace
{

const char *usage = "usage: standin [--server ID=IP:PORT,SLOTS,SERVICE_MS]... [--platform IP:PORT=FILE] [--threads N]\n"
                    "               [--relay NAME=IP:PORT=IP:PORT]... [--relay-admin IP:PORT]\n";

// Value of --server
struct ServerOption
{
    std::shared_ptr<Backend> backend;
    std::string address;
};

// Parses ID=IP:PORT,SLOTS,SERVICE_MS.
ServerOption parseServer(const std::string &text)
{
    const auto equals = text.find('=');
    const auto firstComma = text.find(',');
    const auto secondComma = text.find(',', firstComma + 1);
    ServerOption option{std::make_shared<Backend>(), text.substr(equals + 1, firstComma - equals - 1)};
    option.backend->id = text.substr(0, equals);
    option.backend->slots =
        static_cast<unsigned>(std::stoul(text.substr(firstComma + 1, secondComma - firstComma - 1)));
    option.backend->serviceMs = static_cast<unsigned>(std::stoul(text.substr(secondComma + 1)));
    return option;
}

} // namespace

int main(int argc, char **argv)
{
    const option options[] = {
        {"server", required_argument, nullptr, 's'},      {"platform", required_argument, nullptr, 'p'},
        {"threads", required_argument, nullptr, 't'},     {"relay", required_argument, nullptr, 'r'},
        {"relay-admin", required_argument, nullptr, 'a'}, {nullptr, 0, nullptr, 0}};
    asio::io_context context;
    std::vector<std::unique_ptr<restinio::http_server_t<ServerTraits<BackendHandler>>>> servers;
    std::unique_ptr<restinio::http_server_t<ServerTraits<PlatformHandler>>> platform;
    std::map<std::string, std::shared_ptr<Relay>> relays;
    std::string relayAdminAddress;
    unsigned threads = 1;
    int flag = 0;
    while ((flag = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        const std::string value = optarg != nullptr ? optarg : "";
        if (flag == 's') {
            const ServerOption server = parseServer(value);
            servers.push_back(openServer(context, server.address, BackendHandler(context, server.backend)));
        } else if (flag == 'p') {
            const auto equals = value.find('=');
            platform = openServer(context, value.substr(0, equals), PlatformHandler(value.substr(equals + 1)));
        } else if (flag == 'r') {
            const auto firstEquals = value.find('=');
            const auto secondEquals = value.find('=', firstEquals + 1);
            relays[value.substr(0, firstEquals)] = std::make_shared<Relay>(
                context, value.substr(firstEquals + 1, secondEquals - firstEquals - 1), value.substr(secondEquals + 1));
        } else if (flag == 'a') {
            relayAdminAddress = value;
        } else if (flag == 't') {
            threads = static_cast<unsigned>(std::stoul(value));
        } else {
            std::cerr << usage;
            return 2;
        }
    }
    std::unique_ptr<restinio::http_server_t<ServerTraits<RelayHandler>>> relayAdmin;
    if (!relayAdminAddress.empty()) {
        relayAdmin = openServer(context, relayAdminAddress, RelayHandler(relays));
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const auto &, int) { context.stop(); });
    std::vector<std::thread> workers;
    for (unsigned i = 1; i < threads; ++i) {
        workers.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (std::thread &worker : workers) {
        worker.join();
    }
    return 0;
}
