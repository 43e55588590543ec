#include "decide/serverstate.h"

#include <algorithm>
#include <utility>

namespace banyanledge
{

namespace
{

void dropProcess(ServerState &state, Time now)
{
    state.process = {};
    state.process.limit.forget(now);
    state.statedWarmup = milliseconds(0);
    state.needsCheck = false;
    state.processSince = now;
}

// A new process failed no request yet.
void beginWarmup(ServerState &state, milliseconds warmupLeft, Time now)
{
    state.ended = false;
    state.consecutiveFailures = 0;
    state.ejectedUntil = {};
    state.coldUntil = std::max(state.coldUntil, now + warmupLeft);
}

} // namespace

bool isCold(const ServerState &state, Time now)
{
    return now < state.coldUntil || (state.ended && now < state.endedAt + endLifetime);
}

bool recordEnd(ServerState &state, Time now)
{
    state.endedAt = now;
    if (state.ended) {
        return false;
    }
    dropProcess(state, now);
    state.ended = true;
    state.startedUnlisted = false;
    return true;
}

bool reachedPresentProcess(const ServerState &state, Time attemptStart)
{
    return attemptStart >= state.processSince;
}

bool recordResponse(ServerState &state, milliseconds warmup, Time now)
{
    if (!state.ended) {
        return false;
    }
    beginWarmup(state, warmup, now);
    state.startedUnlisted = !state.endedInTable;
    return true;
}

bool recordStatedWarmup(ServerState &state, milliseconds warmupLeft, Time now)
{
    const bool isNew = state.ended || now + warmupLeft > state.coldUntil + warmupMargin;
    if (!isNew || warmupLeft <= milliseconds(0)) {
        return false;
    }
    if (!state.ended) {
        dropProcess(state, now);
        state.coldLimiter.pauseUntil(now + lateStartPause);
        state.startedUnlisted = true;
    } else {
        state.startedUnlisted = !state.endedInTable;
    }
    beginWarmup(state, warmupLeft, now);
    state.statedWarmup = warmupLeft;
    return true;
}

namespace
{

// The table names another incarnation than before.
bool applyIncarnation(ServerState &state, const ListedProcess &listed, bool knewStart, milliseconds warmupLeft,
                      Time now)
{
    const bool isFirst = !std::exchange(state.incarnation, listed.incarnation);
    const bool knewEnd = state.ended;
    state.startedUnlisted = false;
    if (knewStart) {
        return false; // the table is behind, or confirms what this host saw
    }
    if (!knewEnd && !isFirst) {
        dropProcess(state, now);
    }
    if (listed.ended) {
        state.endedAt = knewEnd ? state.endedAt : now;
        state.ended = true;
    } else if (knewEnd) {
        beginWarmup(state, warmupLeft, now);
    } else if (!isFirst) {
        state.coldLimiter.pauseUntil(now + lateStartPause);
        beginWarmup(state, warmupLeft, now);
    }
    return !knewEnd && !isFirst;
}

} // namespace

bool applyListedProcess(ServerState &state, const ListedProcess &listed, milliseconds warmup, Time now)
{
    // The remaining warm-up of an entry counts from its change, not from each later change of the table.
    if (std::exchange(state.appliedRevision, listed.revision) == listed.revision) {
        return false;
    }
    const bool wasEndedInTable = std::exchange(state.endedInTable, listed.ended);
    if (listed.warmupLeft > milliseconds(0)) {
        state.coldUntil = std::max(state.coldUntil, now + listed.warmupLeft + warmupMargin);
    }
    const milliseconds warmupLeft = listed.warmupLeft > milliseconds(0) ? listed.warmupLeft : warmup;
    if (state.incarnation == listed.incarnation) {
        return false;
    }
    const bool knewStart = state.startedUnlisted || (wasEndedInTable && !state.ended);
    return applyIncarnation(state, listed, knewStart, warmupLeft, now);
}

std::optional<ProcessNews> unlistedNews(const ServerState &state)
{
    if (state.ended == state.endedInTable && !state.startedUnlisted) {
        return std::nullopt;
    }
    return ProcessNews{state.incarnation.value_or(0), state.ended, state.statedWarmup};
}

} // namespace banyanledge
