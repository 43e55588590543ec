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

// Most return addresses in the line.
constexpr int mostFrames = 32;

// Set before the handlers are installed and not changed later.
std::array<char, 64> hostName{};
std::uintptr_t programBase = 0;

// Builds a line without allocation, because the heap may be damaged.
class Line
{
public:
    void text(const char *bytes)
    {
        const std::size_t length = std::min(std::strlen(bytes), m_bytes.size() - m_length);
        std::memcpy(m_bytes.data() + m_length, bytes, length);
        m_length += length;
    }

    void number(std::uintptr_t value, unsigned base)
    {
        std::array<char, 24> digits{};
        std::size_t at = digits.size() - 1;
        do {
            digits[--at] = "0123456789abcdef"[value % base];
            value /= base;
        } while (value > 0);
        text(digits.data() + at);
    }

    void write() const
    {
        // Nothing can be done about a failed write here.
        [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, m_bytes.data(), m_length);
    }

private:
    std::array<char, 2048> m_bytes{};
    std::size_t m_length = 0;
};

void onFatalSignal(int signal)
{
    std::array<void *, mostFrames> frames{};
    const int count = backtrace(frames.data(), mostFrames);
    Line line;
    line.text(R"({"level":"ERROR","host":")");
    line.text(hostName.data());
    line.text(R"(","message":"the process ends by a fatal signal","signal":")");
    line.number(static_cast<std::uintptr_t>(signal), 10);
    line.text(R"(","addresses":")");
    for (int i = 0; i < count; ++i) {
        line.text(i > 0 ? " 0x" : "0x");
        line.number(reinterpret_cast<std::uintptr_t>(frames[i]) - programBase, 16);
    }
    line.text("\"}\n");
    line.write();
    // The default action was restored when the handler was entered.
    raise(signal);
}

} // namespace

void reportCrashes(const std::string &host)
{
    host.copy(hostName.data(), hostName.size() - 1);
    // The first object is the program itself.
    dl_iterate_phdr(
        [](dl_phdr_info *info, std::size_t, void *) {
            programBase = info->dlpi_addr;
            return 1;
        },
        nullptr);
    // The first call loads a library, which a signal handler must not do.
    std::array<void *, 1> warmUp{};
    backtrace(warmUp.data(), 1);
    struct sigaction action = {};
    action.sa_handler = onFatalSignal;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
    for (const int signal : fatalSignals) {
        sigaction(signal, &action, nullptr);
    }
}

} // namespace banyanledge
