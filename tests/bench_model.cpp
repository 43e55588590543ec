// Set-up of the benchmark model, request arrivals, token requests and the summary of results.
#include <algorithm>
#include <cmath>
#include <numeric>

#include <xxhash.h>

#include "base/invariant.h"
#include "bench_model_state.h"

namespace banyanledge::bench
{

void Model::buildServers()
{
    for (std::size_t service = 0; service < serviceNames.size(); ++service) {
        const unsigned spread = m_deployment.maxServers - m_deployment.minServers + 1;
        const unsigned count = m_deployment.minServers + static_cast<unsigned>(m_random() % spread);
        double slots = 0;
        for (unsigned i = 0; i < count; ++i) {
            Server server;
            server.id = serviceNames[service] + std::to_string(i);
            server.service = service;
            server.region = i % regionNames.size();
            const unsigned range = m_deployment.maxSlots - m_deployment.minSlots + 1;
            server.slots = m_deployment.minSlots + static_cast<unsigned>(m_random() % range);
            slots += server.slots;
            m_serverIndex[server.id] = m_servers.size();
            m_servers.push_back(server);
        }
        m_serviceRates.push_back(slots / meanWorkMs[service] * 1000 * offeredLoad);
    }
}

void Model::buildTable()
{
    proto::TableContent content;
    std::map<std::pair<std::size_t, std::size_t>, std::vector<PoolServer>> pools;
    for (const Server &server : m_servers) {
        proto::Server *row = content.add_servers();
        row->set_id(server.id);
        row->set_service(serviceNames[server.service]);
        row->set_region(regionNames[server.region]);
        row->set_slots(server.slots);
        pools[{server.service, server.region}].push_back({server.id, server.id, server.slots, 0, true});
    }
    for (auto &[key, servers] : pools) {
        m_pools[key].pool.setServers(servers, m_now);
    }
    for (std::size_t i = 0; i < hostsPerRegion * regionNames.size(); ++i) {
        proto::Member *member = content.add_members();
        member->set_id(std::to_string(i));
        member->set_entry(true);
        member->set_region(regionNames[i % regionNames.size()]);
        member->set_state(proto::MEMBER_LIVE);
    }
    if (m_scenario == Scenario::ShiftToColdRegion) {
        proto::Shift *shift = content.add_shifts();
        shift->set_id("move");
        shift->set_service("*");
        shift->set_from_region("a");
        shift->set_to_region("b");
        shift->set_cap(shiftCap);
    }
    commit(content);
}

void Model::commit(const proto::TableContent &change)
{
    proto::TableContent content = change;
    content.set_revision(m_view->revision() + 1);
    m_view = View::next(*m_view, content, false);
}

void Model::buildCustomers()
{
    double total = 0;
    for (const double share : m_serviceRates) {
        total += share;
    }
    for (std::size_t i = 0; i < customerShares.size(); ++i) {
        Customer customer;
        customer.name = "customer" + std::to_string(i);
        customer.offeredRate = total * customerShares[i];
        customer.limit = {customer.offeredRate / rateUtilization, customer.offeredRate / rateUtilization};
        customer.arrivalTokens = customer.admissionTokens = customer.limit.burst;
        customer.arrivalTokensAt = customer.admissionTokensAt = m_now;
        m_customers.push_back(customer);
        m_bucketOwners.push_back(i);
        m_buckets.emplace_back(customer.limit, customer.limit.burst, 0, milliseconds(0), m_now, 1);
    }
}

void Model::buildHosts()
{
    const double count = static_cast<double>(hostsPerRegion * regionNames.size());
    for (std::size_t i = 0; i < hostsPerRegion * regionNames.size(); ++i) {
        Host host;
        host.id = std::to_string(i);
        host.region = i % regionNames.size();
        host.retryBudgets.resize(serviceNames.size());
        host.nextServer.resize(serviceNames.size(), i);
        host.splitTokensAt.resize(m_customers.size(), m_now);
        for (const Customer &customer : m_customers) {
            host.tokens.push_back({TokenCache({host.id, 1}, m_now), {}, false});
            host.splitTokens.push_back({customer.limit.rate / count, customer.limit.burst / count});
        }
        m_hosts.push_back(std::move(host));
    }
}

bool Model::isFlooding(std::size_t customer) const
{
    const Duration since = m_now - m_start;
    return m_scenario == Scenario::Flood && customer == 1 && since >= m_phaseLength && since < 2 * m_phaseLength;
}

// Generates the requests of one customer as a Poisson process. The regions' shares of the requests vary over time with
// a period of 10 s, so that routing depends on current load reports.
void Model::generateArrival(std::size_t index)
{
    if (m_now >= m_end) {
        return;
    }
    Customer &customer = m_customers[index];
    const double rate = customer.offeredRate * (isFlooding(index) ? floodFactor : 1);
    schedule(ms(-std::log(1 - uniform()) / rate * 1000), [this, index] { generateArrival(index); });
    if (m_now == m_start) {
        return;
    }
    auto request = std::make_shared<Request>();
    request->customer = index;
    request->start = m_now;
    double draw = uniform() * std::accumulate(m_serviceRates.begin(), m_serviceRates.end(), 0.0);
    while (request->service + 1 < m_serviceRates.size() && draw >= m_serviceRates[request->service]) {
        draw -= m_serviceRates[request->service++];
    }
    const double phase = std::chrono::duration<double>(m_now - m_start).count() * 2 * M_PI / 10;
    draw = uniform();
    const double shareA = (1 + (0.35 * std::sin(phase))) / 3;
    const double shareB = (1 + (0.35 * std::sin(phase + (2 * M_PI / 3)))) / 3;
    request->callerRegion = draw < shareA ? 0 : draw < shareA + shareB ? 1 : 2;
    // A small customer has few callers, so its requests arrive at few hosts.
    const auto callers = static_cast<std::uint64_t>(std::max(1.0, customerShares[index] * 100));
    const std::uint64_t caller = (index * 1000) + (m_random() % callers);
    const double normal = std::sqrt(-2 * std::log(1 - uniform())) * std::cos(2 * M_PI * uniform());
    request->workMs = meanWorkMs[request->service] * std::exp((0.6 * normal) - 0.18);
    request->hosts =
        lookupHosts({serviceNames[request->service], regionNames[request->callerRegion], caller}, *m_view, {}, 4);
    customer.arrivalTokens =
        std::min(customer.limit.burst,
                 customer.arrivalTokens
                     + (customer.limit.rate * std::chrono::duration<double>(m_now - customer.arrivalTokensAt).count()));
    customer.arrivalTokensAt = m_now;
    if (customer.arrivalTokens >= 1) {
        customer.arrivalTokens -= 1;
        ++customer.arrivalsWithinRate;
    }
    ++m_result.requests;
    tryHost(request, 0);
}

// Sends the request to the next host of the look-up reply. A dead host costs the caller a connection timeout of 200 ms.
void Model::tryHost(const RequestPtr &request, std::size_t attempt)
{
    if (attempt >= request->hosts.size()) {
        finish(request, false);
        return;
    }
    const std::size_t host = std::stoul(request->hosts[attempt].id());
    const Duration regionDelay =
        m_hosts[host].region == request->callerRegion ? Duration{} : ms(m_deployment.regionDelayMs);
    schedule(ms(m_deployment.clientDelayMs) + regionDelay, [this, request, host, attempt] {
        if (!m_hosts[host].alive) {
            schedule(milliseconds(200), [this, request, attempt] { tryHost(request, attempt + 1); });
            return;
        }
        request->host = host;
        takeToken(request);
    });
}

void Model::takeToken(const RequestPtr &request)
{
    Host &host = m_hosts[request->host];
    const std::size_t customer = request->customer;
    if (m_policy == Policy::StaticRateSplit) {
        RateLimit &share = host.splitTokens[customer];
        const double hosts = static_cast<double>(m_hosts.size());
        const RateLimit limit = m_customers[customer].limit;
        const double elapsed = std::chrono::duration<double>(m_now - host.splitTokensAt[customer]).count();
        share.burst = std::min(limit.burst / hosts, share.burst + (limit.rate / hosts * elapsed));
        host.splitTokensAt[customer] = m_now;
        if (share.burst < 1) {
            refuseForRate(request);
            return;
        }
        share.burst -= 1;
        routeAdmitted(request);
        return;
    }
    CustomerTokens &tokens = host.tokens[customer];
    tokens.cache.recordDemand(1, m_now);
    if (tokens.waiting.empty() && tokens.cache.take(1, m_now)) {
        routeAdmitted(request);
    } else if (static_cast<double>(tokens.waiting.size()) >= std::max(64.0, m_customers[customer].limit.rate * 5)) {
        refuseForRate(request);
    } else {
        tokens.waiting.emplace_back(m_now + tokenTimeout, [this, request](bool taken) {
            if (taken) {
                routeAdmitted(request);
            } else {
                refuseForRate(request);
            }
        });
    }
    serveTokenQueue(request->host, customer);
}

// Gives tokens to waiting requests in order, refuses those that waited too long, and calls the bucket's owner when a
// call is due.
void Model::serveTokenQueue(std::size_t hostIndex, std::size_t customer)
{
    CustomerTokens &tokens = m_hosts[hostIndex].tokens[customer];
    while (!tokens.waiting.empty()) {
        const bool late = tokens.waiting.front().first <= m_now;
        if (!late && !tokens.cache.take(1, m_now)) {
            break;
        }
        const auto done = std::move(tokens.waiting.front().second);
        tokens.waiting.pop_front();
        done(!late);
    }
    const auto waiting = static_cast<double>(tokens.waiting.size());
    const auto grantRequest = tokens.cache.nextRequest(waiting, waiting > 0 ? 1 : 0, m_now);
    if (grantRequest) {
        const std::size_t owner = m_bucketOwners[customer];
        const Duration delay =
            owner == hostIndex ? Duration{} : oneWay(m_hosts[hostIndex].region, m_hosts[owner].region);
        schedule(delay, [this, hostIndex, customer, delay, owner, grantRequest = *grantRequest] {
            if (!m_hosts[owner].alive) {
                schedule(delay, [this, hostIndex, customer] {
                    m_hosts[hostIndex].tokens[customer].cache.handleFailure(milliseconds(30), m_now);
                    serveTokenQueue(hostIndex, customer);
                });
                return;
            }
            const GrantReply answer = m_buckets[customer].handleRequest(grantRequest, m_now);
            schedule(delay, [this, hostIndex, customer, answer] {
                m_hosts[hostIndex].tokens[customer].cache.handleReply(answer, grantLifetime, m_now);
                serveTokenQueue(hostIndex, customer);
            });
        });
    }
    if (!tokens.waiting.empty() && !tokens.pollScheduled) {
        tokens.pollScheduled = true;
        const Duration pause = std::max<Duration>(tokens.cache.retryAfter(m_now), milliseconds(1));
        schedule(std::min<Duration>(pause, milliseconds(50)), [this, hostIndex, customer] {
            m_hosts[hostIndex].tokens[customer].pollScheduled = false;
            serveTokenQueue(hostIndex, customer);
        });
    }
}

void Model::routeAdmitted(const RequestPtr &request)
{
    Customer &customer = m_customers[request->customer];
    const double elapsed = std::chrono::duration<double>(m_now - customer.admissionTokensAt).count();
    customer.admissionTokens =
        std::min(customer.limit.burst, customer.admissionTokens + (customer.limit.rate * elapsed)) - 1;
    customer.admissionTokensAt = m_now;
    if (customer.admissionTokens < -1e-6) {
        ++m_result.admittedOverRate;
        customer.admissionTokens = 0;
    }
    addRetryCredit(m_hosts[request->host].retryBudgets[request->service], m_now);
    if (usesPools()) {
        route(request);
    } else {
        routeWithoutPools(request);
    }
}

namespace
{

double percentile(std::vector<double> &values, double part)
{
    if (values.empty()) {
        return 0;
    }
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

} // namespace

ModelResult Model::summarize()
{
    std::vector<double> all;
    for (std::size_t i = 0; i < m_customers.size(); ++i) {
        Customer &customer = m_customers[i];
        all.insert(all.end(), customer.latencies.begin(), customer.latencies.end());
        m_result.served += customer.served;
        m_result.unservedWithinRate +=
            customer.arrivalsWithinRate - std::min(customer.arrivalsWithinRate, customer.served);
        // In a flood, the flooding customer's requests wait for its own rate limit, so only the others' latencies
        // count.
        if (m_scenario != Scenario::Flood || i != 1) {
            m_result.worstP99Ms = std::max(m_result.worstP99Ms, percentile(customer.latencies, 0.99));
        }
        const double share = static_cast<double>(customer.served) / static_cast<double>(customer.arrivalsWithinRate);
        m_result.worstServedShare = std::min(m_result.worstServedShare, share);
    }
    m_result.medianMs = percentile(all, 0.5);
    m_result.p99Ms = percentile(all, 0.99);
    m_result.headroom = m_headroomSum / static_cast<double>(m_samples);
    m_result.overloadedFraction = static_cast<double>(m_overloadedSamples) / static_cast<double>(m_samples);
    return m_result;
}

ModelResult Model::run()
{
    for (std::size_t i = 0; i < m_customers.size(); ++i) {
        generateArrival(i);
    }
    sample();
    reportLoads();
    if (m_scenario == Scenario::RegionFailure) {
        schedule(m_phaseLength, [this] { failRegion(); });
    } else if (m_scenario == Scenario::PartialDrain) {
        schedule(m_phaseLength, [this] { drainHalfOfRegion(); });
    } else if (m_scenario == Scenario::ShiftToColdRegion && usesPools()) {
        schedule(m_phaseLength, [this] { stepShift(); });
    }
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
        // Pools and token caches schedule events without end. Every request is finished by the longest deadline, 5 s.
        if (m_now > m_end + milliseconds(6000)) {
            break;
        }
    }
    return summarize();
}

namespace
{

std::uint64_t invariantViolationCount()
{
    std::uint64_t sum = 0;
    for (const auto &[name, count] : brokenInvariants()) {
        sum += count;
    }
    return sum;
}

} // namespace

ModelResult runModel(const Deployment &deployment, Scenario scenario, Policy policy, std::uint64_t seed, double seconds)
{
    const std::uint64_t before = invariantViolationCount();
    ModelResult result = Model(deployment, scenario, policy, seed, seconds).run();
    result.invariantViolations = invariantViolationCount() - before;
    return result;
}

} // namespace banyanledge::bench
