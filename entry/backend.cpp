#include "entry/backend.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/error.h"
#include "net/bodydecoder.h"
#include "net/messagelines.h"

namespace banyanledge
{

namespace
{

// Unconsumed body bytes of one transfer above which reading from the server pauses.
constexpr std::size_t maxUnconsumedBytes = 262144;

// Idle connections kept by each worker thread.
constexpr long maxIdleConnections = 256;

struct Transfer
{
    std::uint64_t id = 0;
    BackendRequest request;
    BackendCallbacks callbacks;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    BackendUpdate update; // collected since the last delivery
    bool queued = false; // is in the delivery queue
    std::vector<Transfer *> *deliveryQueue = nullptr; // owned by the worker thread
    MessageLines lines{MessageKind::Response};
    BodyDecoder decoder;
    BackendHead head;
    bool headComplete = false;
    std::string invalidity; // why the response is not valid HTTP/1.1; empty while it is
    bool sent = false; // sending of the request has begun
    bool paused = false; // reading from the server is paused
    std::size_t unconsumedBytes = 0; // body bytes received but not consumed
};

struct Start
{
    std::unique_ptr<Transfer> transfer;
};
struct Cancel
{
    std::uint64_t id;
};
struct Consumed
{
    std::uint64_t id;
    std::size_t bytes;
};
using WorkerCommand = std::variant<Start, Cancel, Consumed>;

template<typename... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

// Queues the transfer's update for delivery at the end of this loop iteration.
void queueDelivery(Transfer &transfer)
{
    if (!std::exchange(transfer.queued, true)) {
        transfer.deliveryQueue->push_back(&transfer);
    }
}

void readField(Transfer &transfer, const FieldLine &field)
{
    transfer.head.headers.push_back({std::string(field.name), std::string(field.value)});
}

// Completes the response head. Rejects a body delimited only by the end of the connection, because a truncated one
// would look complete.
void finishHead(Transfer &transfer)
{
    if (transfer.head.status < 200) {
        return; // an interim response; the final one follows
    }
    const bool bodyless = isBodylessStatus(transfer.head.status) || transfer.request.method == "HEAD";
    const BodyFraming &framing = transfer.lines.bodyFraming();
    if (!bodyless && !framing.chunked && !framing.length) {
        transfer.invalidity = "only the end of the connection would end the body";
        return;
    }
    transfer.headComplete = true;
    transfer.head.length = framing.length;
    transfer.update.head = transfer.head;
    queueDelivery(transfer);
}

void startHead(Transfer &transfer, const StartLine &line)
{
    transfer.head = {};
    transfer.head.status = line.status;
}

std::string failureReason(const Transfer &transfer, CURLcode code)
{
    if (!transfer.invalidity.empty()) {
        return "invalid HTTP response: " + transfer.invalidity;
    }
    return code == CURLE_OK ? "the response is incomplete" : curl_easy_strerror(code);
}

// Takes a line of the head, or of interim responses before it. Trailers are a part of the chunked body.
std::size_t onHeaderLine(char *data, std::size_t, std::size_t size, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    const auto line = transfer.lines.read({data, size});
    if (!line) {
        transfer.invalidity = lastError().message;
        return 0; // libcurl aborts the transfer and closes the connection
    }
    std::visit(Overloaded{[](EmptyLine) {}, [&](const StartLine &start) { startHead(transfer, start); },
                          [&](const FieldLine &field) { readField(transfer, field); },
                          [&](FieldContinuation) { transfer.invalidity = "a header is continued on a second line"; },
                          [&](SectionEnd) { finishHead(transfer); }},
               *line);
    return transfer.invalidity.empty() ? size : 0;
}

std::size_t onBodyPart(char *data, std::size_t, std::size_t size, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    if (transfer.unconsumedBytes > maxUnconsumedBytes) {
        transfer.paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    std::string &body = transfer.update.data;
    const std::size_t bodyBytes = body.size();
    if (!transfer.decoder.read(transfer.lines, {data, size}, body)) {
        transfer.invalidity = lastError().message;
        return 0; // libcurl aborts the transfer and closes the connection
    }
    transfer.unconsumedBytes += body.size() - bodyBytes;
    queueDelivery(transfer);
    return size;
}

int onConnected(void *user, char *, char *, int, int)
{
    auto &transfer = *static_cast<Transfer *>(user);
    if (transfer.callbacks.beforeSend && !transfer.callbacks.beforeSend()) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.sent = true;
    return CURL_PREREQFUNC_OK;
}

void addHeader(Transfer &transfer, const std::string &name, const std::string &value)
{
    // libcurl sends an empty value only for "Name;" and removes the header for "Name:".
    const std::string line = value.empty() ? name + ";" : name + ": " + value;
    transfer.headers = curl_slist_append(transfer.headers, line.c_str());
}

void setHeaders(Transfer &transfer)
{
    for (const auto &header : transfer.request.headers) {
        addHeader(transfer, header.name, header.value);
    }
    // Removes the headers that libcurl would add by itself.
    for (const char *libcurlDefault : {"Accept", "Expect", "Content-Type", "User-Agent"}) {
        if (findHeader(transfer.request.headers, libcurlDefault) == nullptr) {
            transfer.headers = curl_slist_append(transfer.headers, (std::string(libcurlDefault) + ":").c_str());
        }
    }
    curl_easy_setopt(transfer.easy, CURLOPT_HTTPHEADER, transfer.headers);
}

void setMethod(Transfer &transfer)
{
    const auto &request = transfer.request;
    const bool expectsBody = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (request.method == "HEAD") {
        curl_easy_setopt(transfer.easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (expectsBody || !request.body->empty()) {
        curl_easy_setopt(transfer.easy, CURLOPT_POST, 1L);
        curl_easy_setopt(transfer.easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body->size()));
        curl_easy_setopt(transfer.easy, CURLOPT_POSTFIELDS, request.body->data());
    }
    curl_easy_setopt(transfer.easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void setOptions(Transfer &transfer)
{
    CURL *easy = transfer.easy;
    const auto &request = transfer.request;
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + request.address + "/").c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request.target.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, 131072L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(std::max<std::int64_t>(
                         1, std::chrono::duration_cast<milliseconds>(request.connectTimeout).count())));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request.newConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request.newConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    // Passes chunks on as they arrived, because libcurl reads them less strictly.
    curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBodyPart);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onConnected);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    setMethod(transfer);
    setHeaders(transfer);
}

// Thread that runs transfers on one multi handle.
class CurlWorker
{
public:
    CurlWorker()
        : m_multi(curl_multi_init())
    {
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
        m_thread = std::thread([this] { run(); });
    }

    ~CurlWorker()
    {
        m_stopping = true;
        curl_multi_wakeup(m_multi);
        m_thread.join();
        while (!m_transfers.empty()) {
            removeTransfer(*m_transfers.begin()->second);
        }
        for (CURL *easy : m_idleHandles) {
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(m_multi);
    }

    CurlWorker(const CurlWorker &) = delete;
    CurlWorker &operator=(const CurlWorker &) = delete;

    void post(WorkerCommand command)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(m_mutex);
            wasEmpty = m_commands.empty();
            m_commands.push_back(std::move(command));
        }
        if (wasEmpty) {
            curl_multi_wakeup(m_multi);
        }
    }

private:
    void run()
    {
        while (!m_stopping) {
            runCommands();
            int running = 0;
            curl_multi_perform(m_multi, &running);
            readMessages();
            deliver();
            curl_multi_poll(m_multi, nullptr, 0, 1000, nullptr);
        }
    }

    void runCommands()
    {
        std::vector<WorkerCommand> commands;
        {
            const std::lock_guard lock(m_mutex);
            commands.swap(m_commands);
        }
        for (auto &command : commands) {
            std::visit(Overloaded{[this](Start &start) { begin(std::move(start.transfer)); },
                                  [this](const Cancel &cancel) { this->cancel(cancel.id); },
                                  [this](const Consumed &consumed) { resume(consumed); }},
                       command);
        }
    }

    void begin(std::unique_ptr<Transfer> transfer)
    {
        if (m_idleHandles.empty()) {
            transfer->easy = curl_easy_init();
        } else {
            transfer->easy = m_idleHandles.back();
            m_idleHandles.pop_back();
            curl_easy_reset(transfer->easy);
        }
        transfer->deliveryQueue = &m_deliveryQueue;
        setOptions(*transfer);
        curl_multi_add_handle(m_multi, transfer->easy);
        m_transfers.emplace(transfer->id, std::move(transfer));
    }

    void cancel(std::uint64_t id)
    {
        // Removing a handle whose transfer has not ended closes its connection.
        if (const auto found = m_transfers.find(id); found != m_transfers.end()) {
            removeTransfer(*found->second);
        }
    }

    void resume(const Consumed &consumed)
    {
        const auto found = m_transfers.find(consumed.id);
        if (found == m_transfers.end()) {
            return;
        }
        Transfer &transfer = *found->second;
        transfer.unconsumedBytes -= std::min(transfer.unconsumedBytes, consumed.bytes);
        if (transfer.paused && transfer.unconsumedBytes <= maxUnconsumedBytes / 2) {
            transfer.paused = false;
            curl_easy_pause(transfer.easy, CURLPAUSE_CONT);
        }
    }

    void removeTransfer(Transfer &transfer)
    {
        curl_multi_remove_handle(m_multi, transfer.easy);
        curl_slist_free_all(transfer.headers);
        if (m_idleHandles.size() < 64) {
            m_idleHandles.push_back(transfer.easy);
        } else {
            curl_easy_cleanup(transfer.easy);
        }
        std::erase(m_deliveryQueue, &transfer);
        m_transfers.erase(transfer.id);
    }

    // Records the result of each transfer that libcurl reports as done.
    void readMessages()
    {
        int remaining = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &remaining)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            Transfer *transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            const CURLcode code = message->data.result;
            queueDelivery(*transfer);
            if (code == CURLE_OK && transfer->headComplete && transfer->decoder.complete()) {
                transfer->update.end = TransferResult::Complete;
            } else {
                transfer->update.end = transfer->sent ? TransferResult::Broken : TransferResult::NotSent;
                transfer->update.error = failureReason(*transfer, code);
            }
        }
    }

    // Delivers what arrived in this loop iteration, in one call for each transfer.
    void deliver()
    {
        std::vector<Transfer *> ended;
        for (Transfer *transfer : std::exchange(m_deliveryQueue, {})) {
            transfer->queued = false;
            BackendUpdate update = std::exchange(transfer->update, {});
            if (update.end) {
                ended.push_back(transfer);
            }
            transfer->callbacks.received(std::move(update));
        }
        for (Transfer *transfer : ended) {
            removeTransfer(*transfer);
        }
    }

    CURLM *m_multi;
    std::thread m_thread;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::vector<WorkerCommand> m_commands; // guarded by m_mutex
    std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> m_transfers; // used by the thread only
    std::vector<Transfer *> m_deliveryQueue; // used by the thread only
    std::vector<CURL *> m_idleHandles; // used by the thread only
};

} // namespace

class BackendTransfer::WorkerPool
{
public:
    explicit WorkerPool(unsigned threads)
    {
        static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
        static_cast<void>(initialized);
        for (unsigned i = 0; i < std::max(threads, 1U); ++i) {
            m_workers.push_back(std::make_unique<CurlWorker>());
        }
    }

    CurlWorker &workerFor(std::uint64_t id)
    {
        return *m_workers[id % m_workers.size()];
    }

    std::uint64_t nextId()
    {
        return m_nextId++;
    }

private:
    std::vector<std::unique_ptr<CurlWorker>> m_workers;
    std::atomic<std::uint64_t> m_nextId = 1;
};

BackendClient::BackendClient(unsigned threads)
    : m_workers(std::make_shared<BackendTransfer::WorkerPool>(threads))
{
}

BackendClient::~BackendClient() = default;

std::unique_ptr<BackendTransfer> BackendClient::start(BackendRequest request, BackendCallbacks callbacks)
{
    const std::uint64_t id = m_workers->nextId();
    auto transfer = std::make_unique<Transfer>();
    transfer->id = id;
    transfer->request = std::move(request);
    transfer->callbacks = std::move(callbacks);
    m_workers->workerFor(id).post(Start{std::move(transfer)});
    return std::make_unique<BackendTransfer>(m_workers, id);
}

BackendTransfer::BackendTransfer(std::weak_ptr<WorkerPool> workers, std::uint64_t id)
    : m_workers(std::move(workers))
    , m_id(id)
{
}

BackendTransfer::~BackendTransfer()
{
    if (const auto workers = m_workers.lock()) {
        workers->workerFor(m_id).post(Cancel{m_id});
    }
}

void BackendTransfer::consumed(std::size_t bytes)
{
    if (const auto workers = m_workers.lock()) {
        workers->workerFor(m_id).post(Consumed{m_id, bytes});
    }
}

} // namespace banyanledge
