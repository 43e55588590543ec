#include "base/crash.h"

#include <execinfo.h>
#include <link.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>

namespace banyanledge
{

namespace
{

constexpr std::array fatalSignals{SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL};

// Maximum number of return addresses in the log line.
constexpr int maxFrames = 32;

// Set before the handlers are installed and constant from then on, so that handlers can read them without locks.
std::array<char, 64> hostName{};
std::uintptr_t loadAddress = 0;

// Log line built without memory allocation, because the heap may be corrupt. Text beyond the buffer is cut off.
class Line
{
public:
    void appendText(const char *text)
    {
        const std::size_t length = std::min(std::strlen(text), m_bytes.size() - m_length);
        std::memcpy(m_bytes.data() + m_length, text, length);
        m_length += length;
    }

    void appendNumber(std::uintptr_t value, unsigned base)
    {
        std::array<char, 24> digits{};
        std::size_t start = digits.size() - 1;
        do {
            digits[--start] = "0123456789abcdef"[value % base];
            value /= base;
        } while (value > 0);
        appendText(digits.data() + start);
    }

    void write() const
    {
        // A failed write can't be reported anywhere else.
        [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, m_bytes.data(), m_length);
    }

private:
    std::array<char, 2048> m_bytes{};
    std::size_t m_length = 0;
};

void onFatalSignal(int signal)
{
    std::array<void *, maxFrames> frames{};
    const int count = backtrace(frames.data(), maxFrames);
    Line line;
    line.appendText(R"({"level":"ERROR","host":")");
    line.appendText(hostName.data());
    line.appendText(R"(","message":"process terminated by a fatal signal","signal":")");
    line.appendNumber(static_cast<std::uintptr_t>(signal), 10);
    line.appendText(R"(","addresses":")");
    for (int i = 0; i < count; ++i) {
        line.appendText(i > 0 ? " 0x" : "0x");
        line.appendNumber(reinterpret_cast<std::uintptr_t>(frames[i]) - loadAddress, 16);
    }
    line.appendText("\"}\n");
    line.write();
    // SA_RESETHAND has restored the default action, which ends the process.
    raise(signal);
}

} // namespace

void installCrashHandlers(const std::string &host)
{
    host.copy(hostName.data(), hostName.size() - 1);
    // The first object is the program itself; returning 1 ends the iteration.
    dl_iterate_phdr(
        [](dl_phdr_info *info, std::size_t, void *) {
            loadAddress = info->dlpi_addr;
            return 1;
        },
        nullptr);
    // The first call of backtrace() loads libgcc, which allocates memory and so must not happen in a signal handler.
    std::array<void *, 1> unused{};
    backtrace(unused.data(), 1);
    struct sigaction action = {};
    action.sa_handler = onFatalSignal;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
    for (const int signal : fatalSignals) {
        sigaction(signal, &action, nullptr);
    }
}

} // namespace banyanledge
