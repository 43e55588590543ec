// Tests of settings, digests, JSON strings, metrics and the crash handler.
#include <catch2/catch.hpp>

#include <asio/io_context.hpp>

#include <csignal>
#include <cstdlib>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include "base/crash.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "base/timer.h"

using namespace banyanledge;

namespace
{

const std::string entrySettings =
    "[host]\nid = e1\nregion = north\navailability_zone = n1\nrpc_listen = 127.0.0.1:7001\n"
    "[entry]\nenabled = true\nlisten = 127.0.0.1:8001\n"
    "control_hosts = 127.0.0.1:7101, 127.0.0.1:7102\n";

// Parses settings that must be rejected and returns the error message.
std::string rejectionMessage(const std::string &text)
{
    REQUIRE_FALSE(parseSettings(text, "f.ini"));
    return lastError().message;
}

} // namespace

TEST_CASE("settings use defaults for absent keys and split lists at commas")
{
    const auto settings = parseSettings(entrySettings, "f.ini");
    REQUIRE(settings);
    CHECK(settings->host().workers() == 4);
    CHECK(settings->entry().control_hosts_size() == 2);
    CHECK(settings->entry().control_hosts(1) == "127.0.0.1:7102");
    CHECK(settings->entry().lookup_lifetime_ms() == 5000);
}

TEST_CASE("unknown names and invalid values are rejected with file, line and remedy")
{
    using Catch::Matchers::Contains;
    CHECK_THAT(rejectionMessage(entrySettings + "lissten = 1\n"),
               Contains("f.ini:10: [entry] lissten") && Contains("unknown key"));
    CHECK_THAT(rejectionMessage(entrySettings + "[entri]\na = 1\n"),
               Contains("f.ini:10: [entri]") && Contains("unknown section"));
    CHECK_THAT(rejectionMessage(entrySettings + "max_in_flight = 0\n"),
               Contains("f.ini:10") && Contains("from 1 to 100000"));
    CHECK_THAT(rejectionMessage(entrySettings + "max_in_flight = many\n"), Contains("write a number"));
    CHECK_THAT(rejectionMessage("[host]\nid = a\n"), Contains("[host] region") && Contains("missing value"));
    CHECK_THAT(rejectionMessage(entrySettings + "[control]\nenabled = true\n"), Contains("[control] data_folder"));
    CHECK_THAT(rejectionMessage(entrySettings + "[platform]\npoll_ms = 10\n"), Contains("from 50 to 60000"));
    CHECK_THAT(rejectionMessage(entrySettings + "[control]\nenabled = maybe\n"), Contains("write true or false"));
}

TEST_CASE("an election timeout below three heartbeats is rejected")
{
    const std::string control = "[control]\nenabled = true\ndata_folder = d\noperators_listen = 127.0.0.1:9001\n"
                                "operators_file = o\ninitial_members = c1=127.0.0.1:7101\n"
                                "heartbeat_ms = 200\nelection_timeout_ms = 300\n";
    CHECK_THAT(rejectionMessage(entrySettings + control), Catch::Matchers::Contains("contradicts heartbeat_ms"));
}

// Guards against a group that never elects a leader, because the votes arrive after the election timeout.
TEST_CASE("an election timeout below two round trips is rejected")
{
    const std::string control = "[control]\nenabled = true\ndata_folder = d\noperators_listen = 127.0.0.1:9001\n"
                                "operators_file = o\ninitial_members = c1=127.0.0.1:7101\n"
                                "election_timeout_ms = 400\nround_trip_ms = ";
    CHECK(parseSettings(entrySettings + control + "200\n", "test.ini"));
    CHECK_THAT(rejectionMessage(entrySettings + control + "201\n"),
               Catch::Matchers::Contains("contradicts round_trip_ms"));
}

TEST_CASE("an unreadable settings file is an I/O error")
{
    REQUIRE_FALSE(readSettings("/nonexistent/banyanledge.ini"));
    CHECK(lastError().kind == proto::ERROR_IO);
}

TEST_CASE("isAddress accepts only numeric addresses with a port")
{
    CHECK(isAddress("127.0.0.1:80"));
    CHECK(isAddress("[::1]:80"));
    CHECK_FALSE(isAddress("localhost:80"));
    CHECK_FALSE(isAddress("127.0.0.1:0"));
    CHECK_FALSE(isAddress("127.0.0.1:65536"));
    CHECK_FALSE(isAddress("127.0.0.1"));
}

TEST_CASE("sha256 matches the published test vector, and keys are random and compared in full")
{
    CHECK(toHex(sha256("abc")) == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(randomKey().size() == 64);
    CHECK(randomKey() != randomKey());
    CHECK(equalConstantTime("ab", "ab"));
    CHECK_FALSE(equalConstantTime("ab", "ac"));
}

TEST_CASE("JSON strings escape quotes, backslashes and control characters")
{
    CHECK(jsonString("a\"b\\c\n") == "\"a\\\"b\\\\c\\u000a\"");
}

TEST_CASE("metricsText contains a counter in the Prometheus text format")
{
    countMetric("banyanledge_test_total", {{"kind", "a"}}, 2);
    CHECK_THAT(metricsText(), Catch::Matchers::Contains("banyanledge_test_total{kind=\"a\"} 2"));
}

// Guards against a process that dies by a signal without a trace in its log.
TEST_CASE("a fatal signal is logged with its number and a backtrace, and still ends the process")
{
    int pipeEnds[2];
    REQUIRE(pipe(pipeEnds) == 0);
    const pid_t child = fork();
    if (child == 0) {
        dup2(pipeEnds[1], STDOUT_FILENO);
        installCrashHandlers("h1");
        std::abort();
    }
    close(pipeEnds[1]);
    std::string text;
    char buffer[256];
    for (ssize_t size = 0; (size = read(pipeEnds[0], buffer, sizeof(buffer))) > 0;) {
        text.append(buffer, static_cast<std::size_t>(size));
    }
    close(pipeEnds[0]);
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    CHECK((WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT));
    CHECK(text.find(R"("host":"h1","message":"process terminated by a fatal signal","signal":"6","addresses":"0x)")
          != std::string::npos);
    CHECK(text.back() == '\n');
}

// Guards against a callback that acts on the state that followed the one it was set for: the time had passed and asio
// had queued the completion, which cancelling a steady_timer does not reach.
TEST_CASE("a timer that was stopped or started again after its time had passed does not run the earlier callback")
{
    asio::io_context loop;
    std::string ran;
    std::string expected;
    std::function<void()> change;
    Timer first(loop.get_executor());
    Timer second(loop.get_executor());
    // The completions of both timers are queued at once, so `second` is changed when its own is already queued.
    first.start(milliseconds(1), [&] { change(); });
    second.start(milliseconds(2), [&ran] { ran += "a"; });
    SECTION("stopped")
    {
        change = [&] { second.stop(); };
    }
    SECTION("started again")
    {
        change = [&] { second.start(milliseconds(1), [&ran] { ran += "b"; }); };
        expected = "b";
    }
    std::this_thread::sleep_for(milliseconds(20));
    loop.run();
    CHECK(ran == expected);
}

TEST_CASE("a timer runs the callback of its last start, unless it ends before")
{
    asio::io_context loop;
    std::string ran;
    Timer timer(loop.get_executor());
    timer.start(milliseconds(1), [&ran] { ran += "a"; });
    timer.start(milliseconds(2), [&ran] { ran += "b"; });
    {
        Timer ended(loop.get_executor());
        ended.start(milliseconds(1), [&ran] { ran += "c"; });
    }
    loop.run();
    CHECK(ran == "b");
}
