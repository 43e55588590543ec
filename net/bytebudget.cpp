#include "net/bytebudget.h"

#include <algorithm>
#include <utility>

namespace banyanledge
{

namespace
{

// Part of the limit that allowances take in all.
constexpr std::size_t growthDivisor = 2;

// Part of that which is left for one more holder. With 1/16, 16 holders that release nothing leave a third of it.
constexpr std::size_t allowanceDivisor = 16;

} // namespace

ByteBudget::Share::Share(std::shared_ptr<ByteBudget> budget)
    : m_budget(std::move(budget))
{
}

ByteBudget::Share::~Share()
{
    set(0);
}

void ByteBudget::Share::set(std::size_t bytes)
{
    if (m_budget) {
        m_budget->m_held += bytes;
        m_budget->m_held -= m_bytes;
    }
    m_bytes = bytes;
}

ByteBudget::ByteBudget(std::size_t limit)
    : m_limit(limit)
{
}

std::size_t ByteBudget::held() const
{
    return m_held;
}

std::size_t ByteBudget::available() const
{
    return m_limit - std::min(m_held, m_limit);
}

std::size_t ByteBudget::allowance(std::size_t maximum) const
{
    const std::size_t growthLimit = m_limit / growthDivisor;
    return std::min(maximum, (growthLimit - std::min(m_held, growthLimit)) / allowanceDivisor);
}

} // namespace banyanledge
