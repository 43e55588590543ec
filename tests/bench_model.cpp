// Set-up of the model, arrivals, tokens and the summary.
#include <algorithm>
#include <cmath>
#include <numeric>

#include <xxhash.h>

#include "base/invariant.h"
#include "bench_state.h"

namespace banyanledge::bench
{

void Model::buildServers()
{
    for (std::size_t service = 0; service < serviceNames.size(); ++service) {
        const unsigned spread = m_deployment.mostServers - m_deployment.fewestServers + 1;
        const unsigned count = m_deployment.fewestServers + static_cast<unsigned>(m_random() % spread);
        double slots = 0;
        for (unsigned i = 0; i < count; ++i) {
            Server server;
            server.id = serviceNames[service] + std::to_string(i);
            server.service = service;
            server.region = i % regionNames.size();
            const unsigned range = m_deployment.mostSlots - m_deployment.fewestSlots + 1;
            server.slots = m_deployment.fewestSlots + static_cast<unsigned>(m_random() % range);
            slots += server.slots;
            m_serverIndex[server.id] = m_servers.size();
            m_servers.push_back(server);
        }
        m_mix.push_back(slots / serviceMs[service] * 1000 * offeredLoad);
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
    if (m_scenario == Scenario::ColdShift) {
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
    for (const double share : m_mix) {
        total += share;
    }
    for (std::size_t i = 0; i < customerShares.size(); ++i) {
        Customer customer;
        customer.name = "customer" + std::to_string(i);
        customer.offered = total * customerShares[i];
        customer.limit = {customer.offered / usedRate, customer.offered / usedRate};
        customer.allowed = customer.admitted = customer.limit.burst;
        customer.allowedAt = customer.admittedAt = m_now;
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
        host.retries.resize(serviceNames.size());
        host.rotation.resize(serviceNames.size(), i);
        host.evenAt.resize(m_customers.size(), m_now);
        for (const Customer &customer : m_customers) {
            host.wallets.push_back({TokenCache({host.id, 1}, m_now), {}, false});
            host.even.push_back({customer.limit.rate / count, customer.limit.burst / count});
        }
        m_hosts.push_back(std::move(host));
    }
}

bool Model::floods(std::size_t customer) const
{
    const Duration since = m_now - m_start;
    return m_scenario == Scenario::Flood && customer == 1 && since >= m_third && since < 2 * m_third;
}

// One Poisson process per customer. The regions' shares swing, so that measurements matter.
void Model::arrive(std::size_t index)
{
    if (m_now >= m_end) {
        return;
    }
    Customer &customer = m_customers[index];
    const double rate = customer.offered * (floods(index) ? floodFactor : 1);
    after(ms(-std::log(1 - uniform()) / rate * 1000), [this, index] { arrive(index); });
    if (m_now == m_start) {
        return;
    }
    auto request = std::make_shared<Request>();
    request->customer = index;
    request->start = m_now;
    double point = uniform() * std::accumulate(m_mix.begin(), m_mix.end(), 0.0);
    while (request->service + 1 < m_mix.size() && point >= m_mix[request->service]) {
        point -= m_mix[request->service++];
    }
    const double phase = std::chrono::duration<double>(m_now - m_start).count() * 2 * M_PI / 10;
    point = uniform();
    const double first = (1 + (0.35 * std::sin(phase))) / 3;
    const double second = (1 + (0.35 * std::sin(phase + (2 * M_PI / 3)))) / 3;
    request->region = point < first ? 0 : point < first + second ? 1 : 2;
    // Small customers have few callers, so their requests arrive at few hosts.
    const auto callers = static_cast<std::uint64_t>(std::max(1.0, customerShares[index] * 100));
    const std::uint64_t caller = (index * 1000) + (m_random() % callers);
    const double normal = std::sqrt(-2 * std::log(1 - uniform())) * std::cos(2 * M_PI * uniform());
    request->workMs = serviceMs[request->service] * std::exp((0.6 * normal) - 0.18);
    request->hosts =
        lookupHosts({serviceNames[request->service], regionNames[request->region], caller}, *m_view, {}, 4);
    customer.allowed = std::min(
        customer.limit.burst,
        customer.allowed + (customer.limit.rate * std::chrono::duration<double>(m_now - customer.allowedAt).count()));
    customer.allowedAt = m_now;
    if (customer.allowed >= 1) {
        customer.allowed -= 1;
        ++customer.within;
    }
    ++m_figures.requests;
    contact(request, 0);
}

// The caller goes through its look-up answer; a dead host costs it a connection timeout.
void Model::contact(const RequestPtr &request, std::size_t attempt)
{
    if (attempt >= request->hosts.size()) {
        finish(request, false);
        return;
    }
    const std::size_t host = std::stoul(request->hosts[attempt].id());
    const Duration far = m_hosts[host].region == request->region ? Duration{} : ms(m_deployment.regionMs);
    after(ms(m_deployment.clientMs) + far, [this, request, host, attempt] {
        if (!m_hosts[host].alive) {
            after(milliseconds(200), [this, request, attempt] { contact(request, attempt + 1); });
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
    if (m_policy == Policy::EvenRate) {
        RateLimit &left = host.even[customer];
        const double hosts = static_cast<double>(m_hosts.size());
        const RateLimit limit = m_customers[customer].limit;
        const double gap = std::chrono::duration<double>(m_now - host.evenAt[customer]).count();
        left.burst = std::min(limit.burst / hosts, left.burst + (limit.rate / hosts * gap));
        host.evenAt[customer] = m_now;
        if (left.burst < 1) {
            refuseRate(request);
            return;
        }
        left.burst -= 1;
        admitted(request);
        return;
    }
    Wallet &wallet = host.wallets[customer];
    wallet.purse.recordDemand(1, m_now);
    if (wallet.waiters.empty() && wallet.purse.take(1, m_now)) {
        admitted(request);
    } else if (static_cast<double>(wallet.waiters.size()) >= std::max(64.0, m_customers[customer].limit.rate * 5)) {
        refuseRate(request);
    } else {
        wallet.waiters.emplace_back(m_now + tokenWait, [this, request](bool got) {
            if (got) {
                admitted(request);
            } else {
                refuseRate(request);
            }
        });
    }
    serveWallet(request->host, customer);
}

// Serves waiters in order, refuses late ones and calls the bucket's owner when due.
void Model::serveWallet(std::size_t hostIndex, std::size_t customer)
{
    Wallet &wallet = m_hosts[hostIndex].wallets[customer];
    while (!wallet.waiters.empty()) {
        const bool late = wallet.waiters.front().first <= m_now;
        if (!late && !wallet.purse.take(1, m_now)) {
            break;
        }
        const auto done = std::move(wallet.waiters.front().second);
        wallet.waiters.pop_front();
        done(!late);
    }
    const auto waiting = static_cast<double>(wallet.waiters.size());
    const auto ask = wallet.purse.nextRequest(waiting, waiting > 0 ? 1 : 0, m_now);
    if (ask) {
        const std::size_t owner = m_bucketOwners[customer];
        const Duration delay =
            owner == hostIndex ? Duration{} : oneWay(m_hosts[hostIndex].region, m_hosts[owner].region);
        after(delay, [this, hostIndex, customer, delay, owner, ask = *ask] {
            if (!m_hosts[owner].alive) {
                after(delay, [this, hostIndex, customer] {
                    m_hosts[hostIndex].wallets[customer].purse.handleFailure(milliseconds(30), m_now);
                    serveWallet(hostIndex, customer);
                });
                return;
            }
            const GrantReply answer = m_buckets[customer].handleRequest(ask, m_now);
            after(delay, [this, hostIndex, customer, answer] {
                m_hosts[hostIndex].wallets[customer].purse.handleReply(answer, grantTerm, m_now);
                serveWallet(hostIndex, customer);
            });
        });
    }
    if (!wallet.waiters.empty() && !wallet.poked) {
        wallet.poked = true;
        const Duration pause = std::max<Duration>(wallet.purse.retryAfter(m_now), milliseconds(1));
        after(std::min<Duration>(pause, milliseconds(50)), [this, hostIndex, customer] {
            m_hosts[hostIndex].wallets[customer].poked = false;
            serveWallet(hostIndex, customer);
        });
    }
}

void Model::admitted(const RequestPtr &request)
{
    Customer &customer = m_customers[request->customer];
    const double gap = std::chrono::duration<double>(m_now - customer.admittedAt).count();
    customer.admitted = std::min(customer.limit.burst, customer.admitted + (customer.limit.rate * gap)) - 1;
    customer.admittedAt = m_now;
    if (customer.admitted < -1e-6) {
        ++m_figures.overRate;
        customer.admitted = 0;
    }
    addRetryCredit(m_hosts[request->host].retries[request->service], m_now);
    if (usesPools()) {
        route(request);
    } else {
        balance(request);
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

Figures Model::summary()
{
    std::vector<double> all;
    for (std::size_t i = 0; i < m_customers.size(); ++i) {
        Customer &customer = m_customers[i];
        all.insert(all.end(), customer.latencies.begin(), customer.latencies.end());
        m_figures.served += customer.served;
        m_figures.unjust += customer.within - std::min(customer.within, customer.served);
        // The customer that floods waits for its own rate; the others must not.
        if (m_scenario != Scenario::Flood || i != 1) {
            m_figures.worstP99Ms = std::max(m_figures.worstP99Ms, percentile(customer.latencies, 0.99));
        }
        const double share = static_cast<double>(customer.served) / static_cast<double>(customer.within);
        m_figures.worstShare = std::min(m_figures.worstShare, share);
    }
    m_figures.medianMs = percentile(all, 0.5);
    m_figures.p99Ms = percentile(all, 0.99);
    m_figures.headroom = m_headroomSum / static_cast<double>(m_samples);
    m_figures.overloaded = static_cast<double>(m_overloadedSamples) / static_cast<double>(m_samples);
    return m_figures;
}

Figures Model::run()
{
    for (std::size_t i = 0; i < m_customers.size(); ++i) {
        arrive(i);
    }
    sample();
    report();
    if (m_scenario == Scenario::RegionLost) {
        after(m_third, [this] { loseRegion(); });
    } else if (m_scenario == Scenario::PartDrained) {
        after(m_third, [this] { drainPart(); });
    } else if (m_scenario == Scenario::ColdShift && usesPools()) {
        after(m_third, [this] { shiftTick(); });
    }
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
        // Pools and purses wake up for ever; nothing that matters happens after the longest deadline.
        if (m_now > m_end + milliseconds(6000)) {
            break;
        }
    }
    return summary();
}

namespace
{

std::uint64_t brokenSum()
{
    std::uint64_t sum = 0;
    for (const auto &[name, count] : brokenInvariants()) {
        sum += count;
    }
    return sum;
}

} // namespace

Figures runModel(const Deployment &deployment, Scenario scenario, Policy policy, std::uint64_t seed, double seconds)
{
    const std::uint64_t before = brokenSum();
    Figures figures = Model(deployment, scenario, policy, seed, seconds).run();
    figures.invariants = brokenSum() - before;
    return figures;
}

} // namespace banyanledge::bench
