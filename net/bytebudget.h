// Bound on the bytes that many holders keep in memory together, e.g. the responses of a host.
#pragma once

#include <cstddef>
#include <memory>

namespace banyanledge
{

// Adds up the bytes of its shares, on one thread. It enforces nothing: a holder asks for its allowance and stops
// receiving when it keeps more.
class ByteBudget
{
public:
    // Bytes of one holder, released at the end of its life.
    class Share
    {
    public:
        // Counts nothing without a budget.
        explicit Share(std::shared_ptr<ByteBudget> budget);
        ~Share();

        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        // Replaces the number of bytes that the holder keeps.
        void set(std::size_t bytes);

    private:
        const std::shared_ptr<ByteBudget> m_budget;
        std::size_t m_bytes = 0;
    };

    explicit ByteBudget(std::size_t limit);

    // Bytes of all shares.
    std::size_t held() const;

    // Bytes up to the limit; 0 when it is reached or exceeded.
    std::size_t available() const;

    // Bytes that one holder may keep, at most `maximum`: a part of what is left of half of the limit, so that holders
    // which release nothing leave room for others. The other half is for holders that keep little at a time.
    std::size_t allowance(std::size_t maximum) const;

private:
    const std::size_t m_limit;
    std::size_t m_held = 0;
};

} // namespace banyanledge
