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

std::string logHost; // as a JSON string

std::string formatFields(const std::string &message, LogFields fields)
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

// Maximum number of lines that wait for the writer thread.
constexpr std::size_t maxQueuedLines = 4096;

// Rate limit for lines of level INFO and below. Warnings and errors are limited only by the queue.
constexpr unsigned maxLinesPerSecond = 500;

// Interval of the writer thread, so that it writes many lines at once.
constexpr std::chrono::milliseconds writeInterval{100};

// Queue of formatted lines and the thread that writes them.
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

    void add(std::string text, bool rateLimited)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        if (now - m_windowStart >= std::chrono::seconds(1)) {
            m_windowStart = now;
            m_windowLines = 0;
        }
        if (m_queue.size() >= maxQueuedLines || (rateLimited && m_windowLines >= maxLinesPerSecond)) {
            ++m_dropped;
            return;
        }
        m_windowLines += rateLimited ? 1 : 0;
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
        bool lastPass = false;
        while (!lastPass) {
            lastPass = m_stopping;
            std::vector<std::string> lines = std::exchange(m_queue, {});
            const std::uint64_t dropped = m_dropped - std::exchange(m_droppedReported, m_dropped);
            lock.unlock();
            std::string text;
            for (const std::string &line : lines) {
                text += line;
            }
            if (dropped > 0) {
                text += "{\"level\":\"WARNING\",\"host\":" + logHost
                    + ",\"message\":\"log lines were dropped\",\"lines\":\"" + std::to_string(dropped) + "\"}\n";
            }
            std::fwrite(text.data(), 1, text.size(), stdout);
            std::fflush(stdout);
            lock.lock();
            if (!m_stopping) {
                m_wake.wait_for(lock, writeInterval, [this] { return m_stopping; });
            }
        }
    }

    std::mutex m_mutex; // guards all members below except the thread
    std::condition_variable m_wake;
    std::vector<std::string> m_queue;
    std::chrono::steady_clock::time_point m_windowStart{};
    unsigned m_windowLines = 0; // lines in this window that count towards the rate limit
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0; // dropped lines that were reported by a log line
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
    const auto disable = [&configuration](el::Level disabledLevel) {
        configuration.set(disabledLevel, el::ConfigurationType::Enabled, "false");
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
    LOG(DEBUG) << formatFields(message, fields);
}

void logInfo(const std::string &message, LogFields fields)
{
    LOG(INFO) << formatFields(message, fields);
}

void logWarning(const std::string &message, LogFields fields)
{
    LOG(WARNING) << formatFields(message, fields);
}

void logError(const std::string &message, LogFields fields)
{
    LOG(ERROR) << formatFields(message, fields);
}

} // namespace banyanledge
