#include "base/log.h"

#include <easylogging++.h>

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

INITIALIZE_EASYLOGGINGPP

namespace banyanledge
{

namespace
{

std::string logHost;

std::string line(const std::string &message, LogFields fields)
{
    std::string text = "\"message\":" + jsonString(message);
    for (const auto &[name, value] : fields) {
        text += ",";
        text += jsonString(name);
        text += ":";
        text += jsonString(value);
    }
    return text;
}

// Lines that wait for the writer.
constexpr std::size_t longestQueue = 4096;

// Lines of level INFO and below in one second; warnings and errors are only bounded by the queue.
constexpr unsigned linesPerSecond = 500;

// Pause of the writer, so that it writes many lines at once.
constexpr std::chrono::milliseconds writeInterval{100};

// Queue between the threads that log and the one that writes.
class LogWriter
{
public:
    LogWriter()
        : m_thread([this] { run(); })
    {
    }

    ~LogWriter()
    {
        stop();
    }

    void add(std::string text, bool bounded)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        if (now - m_second >= std::chrono::seconds(1)) {
            m_second = now;
            m_lines = 0;
        }
        if (m_queue.size() >= longestQueue || (bounded && m_lines >= linesPerSecond)) {
            ++m_dropped;
            return;
        }
        m_lines += bounded ? 1 : 0;
        m_queue.push_back(std::move(text));
    }

    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_wake.notify_all();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    std::uint64_t dropped()
    {
        const std::lock_guard lock(m_mutex);
        return m_dropped;
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        bool last = false;
        while (!last) {
            last = m_stopping;
            std::vector<std::string> lines = std::exchange(m_queue, {});
            const std::uint64_t missing = m_dropped - std::exchange(m_reported, m_dropped);
            lock.unlock();
            std::string text;
            for (const std::string &line : lines) {
                text += line;
            }
            if (missing > 0) {
                text += "{\"level\":\"WARNING\",\"host\":" + logHost
                    + ",\"message\":\"log lines were dropped\",\"lines\":\"" + std::to_string(missing) + "\"}\n";
            }
            std::fwrite(text.data(), 1, text.size(), stdout);
            std::fflush(stdout);
            lock.lock();
            if (!m_stopping) {
                m_wake.wait_for(lock, writeInterval, [this] { return m_stopping; });
            }
        }
    }

    std::mutex m_mutex; // guards all below but the thread
    std::condition_variable m_wake;
    std::vector<std::string> m_queue;
    std::chrono::steady_clock::time_point m_second{};
    unsigned m_lines = 0; // bounded lines in this second
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

std::unique_ptr<LogWriter> writer;

class QueueSink : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const auto level = data->logMessage()->level();
        if (writer) {
            writer->add(data->logMessage()->logger()->logBuilder()->build(data->logMessage(), true),
                        level == el::Level::Info || level == el::Level::Debug);
        }
    }
};

} // namespace

std::string jsonString(const std::string &text)
{
    std::string result = "\"";
    for (const char c : text) {
        const auto value = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            result += '\\';
            result += c;
        } else if (value < 0x20) {
            char buffer[8];
            std::snprintf(buffer, sizeof(buffer), "\\u%04x", value);
            result += buffer;
        } else {
            result += c;
        }
    }
    return result + "\"";
}

bool startLog(const std::string &level, const std::string &host)
{
    static const std::map<std::string, int> levels{{"debug", 0}, {"info", 1}, {"warning", 2}, {"error", 3}};
    const auto found = levels.find(level);
    if (found == levels.end()) {
        return false;
    }
    logHost = jsonString(host);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format,
                              "{\"time\":\"%datetime{%Y-%M-%dT%H:%m:%s.%g}\",\"level\":\"%level\",\"host\":" + logHost
                                  + ",%msg}");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    const auto disable = [&configuration](el::Level which) {
        configuration.set(which, el::ConfigurationType::Enabled, "false");
    };
    if (found->second > 0) {
        disable(el::Level::Debug);
    }
    if (found->second > 1) {
        disable(el::Level::Info);
    }
    if (found->second > 2) {
        disable(el::Level::Warning);
    }
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<QueueSink>("QueueSink");
    writer = std::make_unique<LogWriter>();
    return true;
}

void stopLog()
{
    if (writer) {
        writer->stop();
    }
}

std::uint64_t droppedLogLines()
{
    return writer ? writer->dropped() : 0;
}

void logDebug(const std::string &message, LogFields fields)
{
    LOG(DEBUG) << line(message, fields);
}

void logInfo(const std::string &message, LogFields fields)
{
    LOG(INFO) << line(message, fields);
}

void logWarning(const std::string &message, LogFields fields)
{
    LOG(WARNING) << line(message, fields);
}

void logError(const std::string &message, LogFields fields)
{
    LOG(ERROR) << line(message, fields);
}

} // namespace banyanledge
