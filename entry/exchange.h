// Processing of one client request: admission, dispatch to a backend server, and the response.
#pragma once

#include <asio.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/timer.h"
#include "entry/path.h"
#include "entry/refusal.h"

namespace banyanledge
{

// Whether an attempt was sent. The HTTP client's thread and the request's strand change it atomically, once per
// attempt.
enum class DispatchState {
    Waiting,
    Sent, // the first byte may be on its way
    Stopped, // abandoned before anything was sent
    KeyInvalid, // not sent: the key was withdrawn
    LeaseExpired, // not sent: the freshness lease had expired
    ProcessChanged, // not sent: the slot belongs to a former process of the server
};

// One client request and its response. All steps run on one strand. Callbacks and timers keep the object alive.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<RequestPathState> shared, Request request, ResponseWriter response);
    ~Exchange();

    void start();

private:
    // Admission, in exchange.cpp
    void begin();
    std::optional<Refusal> parseRequest();
    void onFreshnessWaitEnded(bool fresh);
    void authorize();
    std::optional<Refusal> findCustomer(const View &view);
    void chooseRegions(const View &view);
    void onShiftToken(const AdmissionResult &admission);
    void takeCustomerToken();
    void onCustomerToken(const AdmissionResult &admission);
    void claim();
    void onClaim(const proto::CommandResult &result);
    void takeRequestBodyTokens();
    bool takeShortBodyBytes(const std::string &link, std::uint64_t bytes);
    std::uint64_t nextPortionBytes(const std::string &link, std::uint64_t sent, std::uint64_t remaining);
    void onRequestBodyTokens(const AdmissionResult &admission);

    // Dispatch and response, in dispatch.cpp
    void takeSlot();
    void onSlot(SlotLease lease);
    void dispatch();
    BackendRequest backendRequest() const;
    void onUpdate(unsigned attempt, BackendUpdate update);
    bool onHead(const BackendHead &head);
    void onBackendEnd(const BackendUpdate &update);
    void onNotSent(const std::string &error);
    void retry(bool sent, const Refusal &refusal);
    bool canRetry(bool sent);
    void writeResponse();
    void onResponseTokens(const AdmissionResult &admission);
    void onWritten(bool written);
    void scheduleRecheck();
    void recheck();
    void onLeaseRenewed(bool fresh);
    bool isKeyValid() const;
    DispatchState checkBeforeSending(const SlotLease &lease) const;

    // Completion, in exchange.cpp
    void startDeadlineTimer();
    void onDeadline();
    void onClientDisconnect();
    void refuseOrAbort(
        const Refusal &refusal); // refuses the request, or closes the connection once the response has started
    void stopAttempt(proto::Outcome outcome);
    void releaseSlot(proto::Outcome outcome);
    void end(const char *result);
    void settleClaim();
    void proposeSettlement(const proto::Command &command);
    proto::Command newCommand() const;
    void returnUnusedTokens();

    // Returns a callback that runs the step on the strand and keeps this object alive.
    template<typename Argument>
    std::function<void(std::decay_t<Argument>)> bindStep(void (Exchange::*next)(Argument))
    {
        return [self = shared_from_this(), next](std::decay_t<Argument> value) {
            asio::dispatch(self->m_strand,
                           [self, next, value = std::move(value)]() mutable { (self.get()->*next)(std::move(value)); });
        };
    }
    void runAt(Timer &timer, Time when, void (Exchange::*next)());

    // Claim of the request id in the replicated log, so that a non-idempotent request runs at most once.
    enum class ClaimStep {
        None,
        Requested,
        Held,
    };

    const std::shared_ptr<RequestPathState> m_shared;
    const std::shared_ptr<void> m_inFlight; // counts this request until its response is written and its claim settled
    Request m_request;
    ResponseWriter m_response;
    asio::strand<asio::io_context::executor_type> m_strand;
    Timer m_deadlineTimer;
    Timer m_recheckTimer;
    Timer m_retryTimer;
    const Time m_arrivalTime;
    Time m_deadline;

    std::string m_service;
    std::string m_target; // path and query sent to the server
    std::string m_keyDigest; // empty without a key
    std::string m_customer; // empty for requests without a key on an open route
    std::string m_requestId;
    bool m_idempotent = true;
    std::shared_ptr<const std::string> m_body; // request body, shared with the transfers of all attempts

    std::vector<RouteChoice> m_regionChoices;
    std::size_t m_regionIndex = 0;
    bool m_customerTokenTaken = false; // to be returned if the request does not run
    std::string m_shiftOfToken; // id of the shift whose token was taken; empty without one
    ClaimStep m_claim = ClaimStep::None;
    std::string m_claimChangeId; // of the command that takes the claim
    std::uint64_t m_requestBodyLinkBytes = 0; // request body bytes for which tokens of the link were requested
    std::shared_ptr<void> m_longBody; // counts this body among the active long bodies of its link

    std::optional<SlotLease> m_slot;
    unsigned m_slotsTaken = 0;
    unsigned m_slotsReleased = 0;
    std::vector<std::string> m_failedServers;
    unsigned m_attemptNumber = 0;
    std::shared_ptr<std::atomic<DispatchState>> m_dispatchState;
    std::unique_ptr<BackendTransfer> m_transfer;
    Time m_dispatchTime{};
    Duration m_firstByteLatency{};
    bool m_mayHaveRun = false; // a backend server may have processed the request

    std::optional<int> m_status; // of the response to the client; unset until it starts
    std::string m_pendingBody; // response body bytes not written to the client yet
    std::size_t m_writingBytes = 0; // response body bytes being written
    bool m_writePending = false; // a write or a request for link tokens is pending
    bool m_responseComplete = false;
    std::uint64_t m_linkCredit = 0; // response body bytes that the link granted and that were not written yet
    std::uint64_t m_responseBodyLinkBytes = 0; // response body bytes that the link granted so far
    std::uint64_t m_pendingLinkBytes = 0; // response body bytes of the pending request for link tokens
    std::optional<std::uint64_t> m_responseLength;
    bool m_ended = false;
};

} // namespace banyanledge
