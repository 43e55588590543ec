// Tests of planned stops: the schedule that follows from the grace, and changes of the settings while a host runs.
#include <catch2/catch.hpp>

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "apps/settingswatch.h"
#include "base/error.h"
#include "base/settings.h"
#include "decide/stopschedule.h"

using namespace banyanledge;

namespace
{

// Settings of a gateway; `more` are lines of the section of the gateway.
std::string gatewaySettings(const std::string &grace, const std::string &more = {})
{
    return "[host]\nid = g1\nregion = north\navailability_zone = n1\nrpc_listen = 127.0.0.1:7001\nstop_grace_s = "
        + grace
        + "\n[entry]\ncontrol_hosts = 127.0.0.1:7101\n[gateway]\nenabled = true\nlisten = 127.0.0.1:8001\n"
          "ready_listen = 127.0.0.1:8002\n"
        + more;
}

// A settings file that is removed with this object.
class SettingsFile
{
public:
    SettingsFile()
    {
        const int descriptor = mkstemp(m_path.data());
        REQUIRE(descriptor >= 0);
        close(descriptor);
    }

    ~SettingsFile()
    {
        std::filesystem::remove(m_path);
    }

    // Writes the file in place.
    void write(const std::string &text) const
    {
        std::ofstream(m_path) << text;
    }

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path = (std::filesystem::temp_directory_path() / "banyanledge-settings-XXXXXX").string();
};

} // namespace

// Guards against a stop that cuts requests before the last sixth of the grace, or that leaves no time for the end of
// the process.
TEST_CASE("all times of a stop follow from the grace and are in order")
{
    const Time begin{std::chrono::hours(1)};
    for (milliseconds grace(2000); grace <= milliseconds(60000); grace += milliseconds(125)) {
        CAPTURE(grace.count());
        const StopSchedule schedule = stopSchedule(begin, grace);
        CHECK(schedule.begin == begin);
        CHECK(schedule.end == begin + grace);
        CHECK(begin < schedule.acceptUntil);
        CHECK(schedule.acceptUntil < schedule.answerBy);
        CHECK(schedule.answerBy >= begin + Duration(grace) * 5 / 6 + milliseconds(80)); // the last responses arrive
        CHECK(schedule.closeBy >= schedule.answerBy + milliseconds(80)); // and are written
        CHECK(schedule.end >= schedule.closeBy + milliseconds(160));
        CHECK(leaveDeadline(schedule, begin) <= schedule.answerBy);
        CHECK(leaveDeadline(schedule, schedule.closeBy) <= schedule.answerBy);
    }
}

TEST_CASE("a leaving host accepts connections for the life of a look-up response, but only in the first part of a stop")
{
    const Time begin{std::chrono::hours(1)};
    const StopSchedule brief = stopSchedule(begin, std::chrono::seconds(2));
    CHECK(acceptDeadline(brief, std::chrono::seconds(5), begin) == brief.acceptUntil);
    const StopSchedule lengthy = stopSchedule(begin, std::chrono::seconds(600));
    CHECK(acceptDeadline(lengthy, std::chrono::seconds(5), begin) == begin + freshnessLease + std::chrono::seconds(5));
}

// Guards against a process that stood still, took its SIGTERM late, and then used a grace that was already over.
TEST_CASE("the grace of a process that stood still counts from the time at which it was due to take the signal")
{
    const Time due{std::chrono::hours(1)};
    CHECK(stopBegin(due, due - milliseconds(100)) == due - milliseconds(100));
    CHECK(stopBegin(due, due + signalDelayTolerance) == due + signalDelayTolerance);
    CHECK(stopBegin(due, due + milliseconds(4000)) == due);
}

TEST_CASE("the grace may be a fraction, and nonsense is refused with the line and what to write")
{
    const auto settings = parseSettings(gatewaySettings("7.25"), "f.ini");
    REQUIRE(settings);
    CHECK(fromSeconds(settings->host().stop_grace_s()) == milliseconds(7250));
    CHECK(parseSettings(gatewaySettings(""), "f.ini")->host().stop_grace_s() == 0);
    for (const std::string text : {"0", "-6", "nan", "inf", "6s", "6,5", "six", "1e9"}) {
        CAPTURE(text);
        CHECK_FALSE(parseSettings(gatewaySettings(text), "f.ini"));
        CHECK(lastError().message.find("f.ini:6: [host] stop_grace_s: '" + text + "'") == 0);
        CHECK(lastError().message.find("write a number from 1 to 86400") != std::string::npos);
    }
}

// Guards against a change of the file that is not in force and that no log line names.
TEST_CASE("changes of settings that wait for a restart are told from those that are reloaded")
{
    const auto started = parseSettings(gatewaySettings("6"), "f.ini");
    const auto reloaded = parseSettings(gatewaySettings("10", "lookup_lifetime_s = 3\n"), "f.ini");
    CHECK(changesForRestart(*started, *reloaded).empty());
    const auto changed = parseSettings(gatewaySettings("10", "link_mbps = 100\nretry_slack = 3\n"), "f.ini");
    CHECK(changesForRestart(*started, *changed)
          == std::vector<std::string>{"[gateway] retry_slack", "[gateway] link_mbps"});
}

// Guards against a grace that was changed in the file and is not in force at the stop.
TEST_CASE("a change of the settings file is noticed without a signal, and an invalid file changes nothing")
{
    const SettingsFile file;
    file.write(gatewaySettings("6"));
    SettingsWatch watch(file.path(), *readSettings(file.path()));
    CHECK_FALSE(watch.check(false));
    file.write(gatewaySettings("10.5"));
    CHECK(watch.check(false));
    CHECK(watch.settings().host().stop_grace_s() == 10.5);
    CHECK_FALSE(watch.check(false));
    file.write("[host]\nid = ");
    CHECK_FALSE(watch.check(false));
    CHECK_FALSE(watch.check(true));
    CHECK(watch.settings().host().stop_grace_s() == 10.5);
    file.write(gatewaySettings("2"));
    CHECK(watch.check(true));
    CHECK(watch.settings().host().stop_grace_s() == 2);
}
