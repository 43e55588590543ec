#include "control/sync.h"

#include <asio/post.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "base/packing.h"
#include "decide/hash.h"

namespace banyanledge
{

namespace
{

// The loads of the fleet are rebuilt at most this often; until then the same part is sent again.
constexpr milliseconds fleetStateInterval{50};

} // namespace

SyncHandler::SyncHandler(asio::io_context &loop, Node &node, RateTolerance tolerance)
    : m_loop(loop)
    , m_node(node)
    , m_rateTolerance(tolerance)
{
}

bool SyncHandler::leading() const
{
    return m_liveness.leadingSince.has_value();
}

const proto::ControlStatus &SyncHandler::status() const
{
    return m_status;
}

const TableObjects &SyncHandler::objects() const
{
    return m_objects;
}

const Liveness &SyncHandler::liveness() const
{
    return m_liveness;
}

FleetLoads &SyncHandler::loads()
{
    return m_loads;
}

RequestBlocks &SyncHandler::requestBlocks()
{
    return m_requestBlocks;
}

void SyncHandler::handle(const proto::SyncRequest &request, Done done)
{
    const Time now = Clock::now();
    refresh(now);
    const Call call{request, std::move(done), now};
    if (m_stopped || !leading()) {
        refuse(call, proto::ERROR_UNAVAILABLE, "this control host does not lead; call leader_address");
        return;
    }
    if (request.self().id().empty() || request.self().incarnation() == 0) {
        refuse(call, proto::ERROR_INVALID,
               "the call lacks the host id or the incarnation; set self.id and self.incarnation");
        return;
    }
    if (isSuperseded(call)) {
        refuseSuperseded(call);
        return;
    }
    recordArrival(m_liveness, request);
    recordLoads(m_loads, request, now);
    m_rateShares.recordReport(request, now);
    m_serverLoads.recordReport(request, now);
    m_namedLimits.recordReport(request, now);
    m_requestBlocks.recordReport(request, now);
    m_processReports.recordReport(request, m_objects.servers, now);
    proposeProcessReports();
    m_arrived.push_back(call);
    registerIfNeeded(std::prev(m_arrived.end()), now);
    startRound();
}

void SyncHandler::registerIfNeeded(Calls::iterator call, Time now)
{
    const auto member = memberUpdate(call->request, m_objects, m_liveness, now);
    if (member && !m_liveness.hosts[member->id()].goneProposed) {
        registerMember(call, *member);
    }
}

void SyncHandler::registerMember(Calls::iterator call, const proto::Member &member)
{
    m_registering.splice(m_registering.end(), m_arrived, call);
    proto::Command command = systemCommand();
    *command.mutable_put_member()->mutable_member() = member;
    const std::uint64_t incarnation = member.incarnation();
    proposeSystem(std::move(command), [this, host = member.id(), incarnation](const proto::CommandResult &result) {
        endRegistration(host, incarnation, result);
    });
}

// A host that is not in the table gets no freshness lease, because the leader could not declare it gone.
void SyncHandler::endRegistration(const std::string &host, std::uint64_t incarnation,
                                  const proto::CommandResult &result)
{
    const Time now = Clock::now();
    Calls ended;
    for (auto next = m_registering.begin(); next != m_registering.end();) {
        const auto current = next++;
        if (current->request.self().id() == host && current->request.self().incarnation() == incarnation) {
            ended.splice(ended.end(), m_registering, current);
        }
    }
    while (!ended.empty()) {
        const Call &call = ended.front();
        // After a conflict, a newer decision on the member was applied: it may be what the call needs.
        const bool isDecided = result.kind() == proto::ERROR_NONE || result.kind() == proto::ERROR_CONFLICT;
        if (isDecided && !isSuperseded(call)) {
            m_arrived.splice(m_arrived.end(), ended, ended.begin());
            registerIfNeeded(std::prev(m_arrived.end()), now);
            continue;
        }
        recordCallEnd(m_liveness, call.request);
        if (isSuperseded(call)) {
            refuseSuperseded(call);
        } else {
            refuse(call, result.kind(), result.message());
        }
        ended.pop_front();
    }
    startRound();
}

// One read-index round confirms all calls that arrived before it began.
void SyncHandler::startRound()
{
    if (m_roundActive || m_arrived.empty() || m_stopped) {
        return;
    }
    m_roundActive = true;
    m_inRound.splice(m_inRound.end(), m_arrived);
    m_node.readIndex([this](std::optional<Revision> revision) {
        asio::post(m_loop, [this, isLeader = revision.has_value()] { endRound(isLeader); });
    });
}

void SyncHandler::endRound(bool isLeader)
{
    m_roundActive = false;
    const Time now = Clock::now();
    refresh(now);
    if (isLeader && leading()) {
        m_held.splice(m_held.end(), m_inRound);
        answerHeld(now);
    } else {
        for (const Call &call : m_inRound) {
            recordCallEnd(m_liveness, call.request);
            refuse(call, proto::ERROR_UNAVAILABLE, "no quorum confirmed that this control host leads; try again");
        }
        m_inRound.clear();
    }
    startRound();
}

void SyncHandler::refresh(Time now)
{
    const std::uint64_t term = m_status.term();
    m_status = m_node.status();
    const bool isLeader = m_status.role() == "leader" && !m_stopped;
    if (leading() && (!isLeader || term != m_status.term())) {
        stopLeading(m_liveness);
        m_loads = {};
        refuseAll("this control host stopped leading; call leader_address");
    }
    if (isLeader && !leading()) {
        startLeading(m_liveness, now);
        m_rateShares.reset(m_rateTolerance, now);
        m_serverLoads = {};
        m_namedLimits = {};
        m_requestBlocks = {};
        m_processReports = {};
        m_fleetStateBuiltAt = {};
        logInfo("this control host became the leader", {{"term", std::to_string(m_status.term())}});
    }
    const Revision applied = m_node.appliedRevision();
    if (applied != m_objects.revision) {
        bool snapshot = false;
        const auto content = m_node.contentSince(m_objects.revision, &snapshot);
        applyContent(m_objects, content, snapshot);
        forgetEndedProcesses(content, now);
    }
}

// What a process named as its limit does not hold for the next one.
void SyncHandler::forgetEndedProcesses(const proto::TableContent &content, Time now)
{
    for (const auto &server : content.servers()) {
        if (server.incarnation() == server.revision()) {
            m_namedLimits.forget(shortServerHash(server.id()), now);
            m_fleetStateBuiltAt = {};
        }
    }
}

// While commands are under way, what hosts report is collected, so that a report that arrives twice is proposed once.
void SyncHandler::proposeProcessReports()
{
    if (m_proposedReports > 0) {
        return;
    }
    auto commands = m_processReports.takeCommands(m_objects.servers);
    m_proposedReports = commands.size();
    for (auto &command : commands) {
        countMetric("banyanledge_process_reports_total");
        proposeSystem(std::move(command), [this](const proto::CommandResult &) {
            --m_proposedReports;
            proposeProcessReports();
        });
    }
}

void SyncHandler::tick(Time now)
{
    refresh(now);
    if (!leading()) {
        return;
    }
    recordLoopRun(m_liveness, now);
    answerHeld(now);
    declareGoneMembers(now);
    removeGoneMembers(now);
}

bool SyncHandler::shouldHold(const Call &call, Time now) const
{
    const auto host = m_liveness.hosts.find(call.request.self().id());
    if (host != m_liveness.hosts.end() && host->second.goneProposed) {
        return true; // a reply now could let the host serve after its resources have moved
    }
    const auto wait = std::min(maxSyncHold, milliseconds(call.request.wait_ms()));
    return call.request.known_revision() >= m_objects.changed && call.request.known_revision() != 0
        && now < call.arrived + wait;
}

void SyncHandler::answerHeld(Time now)
{
    for (auto next = m_held.begin(); next != m_held.end();) {
        const auto current = next++;
        if (!shouldHold(*current, now)) {
            answer(*current, now);
            m_held.erase(current);
        }
    }
}

// Returns the packed changes of the table after `since`. The parts are cached, because most hosts know the same
// revision and get the same part.
const std::string &SyncHandler::contentPart(Revision since)
{
    if (m_contentRevision != m_objects.revision) {
        m_contentParts.clear();
        m_contentRevision = m_objects.revision;
    }
    const auto found = m_contentParts.find(since);
    if (found != m_contentParts.end()) {
        return found->second;
    }
    bool snapshot = false;
    proto::SyncReply part;
    *part.mutable_content() = m_node.contentSince(since, &snapshot);
    if (part.content().has_declaration()) {
        part.mutable_content()->mutable_declaration()->clear_original(); // only operators read it back
    }
    part.set_snapshot(snapshot);
    return m_contentParts[since] = packCommon(part);
}

// Builds the part with the loads of the whole fleet and the addresses of the control hosts.
const std::string &SyncHandler::fleetStatePart(Time now)
{
    if (m_fleetStateBuiltAt != Time{} && now < m_fleetStateBuiltAt + fleetStateInterval) {
        return m_fleetStatePart;
    }
    proto::SyncReply part;
    for (const auto &load : roundedPoolLoads(m_loads, now)) {
        *part.add_pools() = load;
    }
    for (const auto &load : busyHostLoads(m_loads, now)) {
        *part.add_busy_hosts() = load;
    }
    m_serverLoads.addTotals(part, now);
    m_namedLimits.addStatements(part, now);
    m_requestBlocks.addSuspects(part, now);
    for (const auto &member : m_status.config().members()) {
        part.add_control_hosts(member.rpc_address());
    }
    m_fleetStatePart = packCommon(part);
    m_fleetStateBuiltAt = now;
    return m_fleetStatePart;
}

const std::set<std::string> &SyncHandler::entryHosts()
{
    if (m_entryHostsRevision != m_objects.revision) {
        m_entryHosts.clear();
        m_entryHostsRevision = m_objects.revision;
        for (const auto &[id, member] : m_objects.members) {
            if (member.entry() && (member.state() == proto::MEMBER_LIVE || member.state() == proto::MEMBER_LEAVING)) {
                m_entryHosts.insert(id);
            }
        }
    }
    return m_entryHosts;
}

void SyncHandler::answer(const Call &call, Time now)
{
    const proto::Member &self = call.request.self();
    if (isSuperseded(call)) {
        refuseSuperseded(call);
        recordCallEnd(m_liveness, call.request);
        return;
    }
    proto::SyncReply reply;
    reply.add_common(contentPart(call.request.known_revision()));
    reply.add_common(fleetStatePart(now));
    for (const auto &share : m_rateShares.sharesFor(self.id(), m_objects.declaration, entryHosts(), now)) {
        *reply.add_shares() = share;
    }
    reply.set_region_request_rate(meanRequestRate(m_loads, self.region(), now));
    reply.set_leader_address(m_status.leader_address());
    recordAnswer(m_liveness, call.request, call.arrived);
    countMetric("banyanledge_sync_answers_total");
    call.done(reply);
}

proto::TakeTokensReply SyncHandler::takeTokens(const proto::TakeTokensRequest &request)
{
    const Time now = Clock::now();
    proto::TakeTokensReply reply;
    if (m_stopped || !leading()) {
        reply.set_kind(proto::ERROR_UNAVAILABLE);
        reply.set_message("this control host does not lead; call leader_address");
        reply.set_leader_address(m_status.leader_address());
        return reply;
    }
    for (const auto &want : request.wants()) {
        const proto::DeclaredCustomer *customer = declaredCustomer(want.customer());
        if (customer == nullptr) {
            continue;
        }
        const double granted = m_rateShares.take(*customer, want.amount(), now);
        const double reserved = m_rateShares.takeReserve(*customer, want.reserve(), now);
        if (granted + reserved > 0) {
            auto *added = reply.add_granted();
            added->set_customer(want.customer());
            added->set_amount(granted + reserved);
            added->set_lifetime_ms(static_cast<std::uint32_t>(m_rateShares.reserveLifetime(*customer).count()));
        }
    }
    return reply;
}

const proto::DeclaredCustomer *SyncHandler::declaredCustomer(const std::string &name)
{
    if (m_customersRevision != m_objects.revision) {
        m_customers.clear();
        m_customersRevision = m_objects.revision;
        for (const auto &customer : m_objects.declaration.customers()) {
            m_customers[customer.name()] = &customer;
        }
    }
    const auto found = m_customers.find(name);
    return found == m_customers.end() ? nullptr : found->second;
}

bool SyncHandler::isSuperseded(const Call &call) const
{
    return m_liveness.supersededIncarnations.contains(call.request.self().incarnation());
}

void SyncHandler::refuseSuperseded(const Call &call)
{
    refuse(call, proto::ERROR_CONFLICT,
           "a later process joined as " + call.request.self().id() + "; give each host an id of its own");
}

void SyncHandler::refuse(const Call &call, proto::ErrorKind kind, const std::string &message)
{
    proto::SyncReply reply;
    reply.set_kind(kind);
    reply.set_message(message);
    reply.set_leader_address(m_status.leader_address());
    call.done(reply);
}

void SyncHandler::refuseAll(const std::string &message)
{
    for (Calls *calls : {&m_arrived, &m_registering, &m_held}) {
        for (const Call &call : *calls) {
            refuse(call, proto::ERROR_UNAVAILABLE, message);
        }
        calls->clear();
    }
}

void SyncHandler::stop()
{
    m_stopped = true;
    refuseAll("this control host is shutting down; call another one");
    for (const Call &call : m_inRound) {
        refuse(call, proto::ERROR_UNAVAILABLE, "this control host is shutting down; call another one");
    }
    m_inRound.clear();
}

void SyncHandler::declareGoneMembers(Time now)
{
    for (const proto::Member &member : membersToDeclareGone(m_objects, m_liveness, now)) {
        m_liveness.hosts[member.id()].goneProposed = true;
        proto::Command command = systemCommand();
        *command.mutable_put_member()->mutable_member() = member;
        logWarning("proposing to declare a member gone, because its last answered Sync call is too old",
                   {{"member", member.id()}});
        countMetric("banyanledge_members_gone_total");
        const std::uint64_t term = m_status.term();
        proposeSystem(std::move(command), [this, id = member.id(), term](const proto::CommandResult &) {
            const auto found = m_liveness.hosts.find(id);
            if (found != m_liveness.hosts.end() && term == m_status.term()) {
                found->second.goneProposed = false;
            }
        });
    }
}

void SyncHandler::removeGoneMembers(Time now)
{
    for (const proto::Member &member : membersToRemove(m_objects, m_liveness, now)) {
        proto::Command command = systemCommand();
        command.mutable_remove_member()->set_id(member.id());
        command.mutable_remove_member()->set_incarnation(member.incarnation());
        logInfo("proposing to remove a gone member, because its last request must have ended",
                {{"member", member.id()}});
        proposeSystem(std::move(command));
    }
}

void SyncHandler::proposeSystem(proto::Command command, const std::function<void(const proto::CommandResult &)> &done)
{
    command.set_time_ms(wallClockMs());
    command.set_seen_revision(m_objects.revision);
    m_node.propose(command, [this, id = command.change_id(), done](const proto::CommandResult &result) {
        asio::post(m_loop, [this, id, done, result] {
            refresh(Clock::now());
            if (result.kind() != proto::ERROR_NONE) {
                logWarning("a change proposed by this control leader was refused or not confirmed",
                           {{"change", id}, {"kind", kindName(result.kind())}, {"message", result.message()}});
            }
            if (done) {
                done(result);
            }
        });
    });
}

} // namespace banyanledge
