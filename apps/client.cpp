#include "apps/client.h"

#include <curl/curl.h>
#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <memory>
#include <thread>

#include "net/responsecheck.h"

namespace banyanledge
{

namespace
{

// Delay between rounds of attempts at all control hosts, which can be without a leader for less than 2 s.
constexpr milliseconds retryDelay{200};

std::string stringField(const google::protobuf::Struct &object, const std::string &name)
{
    const auto found = object.fields().find(name);
    return found == object.fields().end() ? "" : found->second.string_value();
}

proto::ErrorKind parseErrorKind(const std::string &name)
{
    for (int kind = proto::ErrorKind_MIN; kind <= proto::ErrorKind_MAX; ++kind) {
        if (proto::ErrorKind_IsValid(kind) && kindName(static_cast<proto::ErrorKind>(kind)) == name) {
            return static_cast<proto::ErrorKind>(kind);
        }
    }
    return proto::ERROR_INVALID;
}

bool isRetryable(unsigned status)
{
    return status == 0 || status == 503 || status == 504;
}

} // namespace

OperatorClient::OperatorClient(Options options)
    : m_options(std::move(options))
{
}

OperatorReply OperatorClient::sendOnce(const std::string &server, const std::string &method, const std::string &path,
                                       const std::string &body, const std::string &changeId) const
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl(curl_easy_init(), curl_easy_cleanup);
    curl_slist *fields = curl_slist_append(nullptr, ("Authorization: Bearer " + m_options.token).c_str());
    fields = curl_slist_append(fields, "Content-Type: application/json");
    if (!changeId.empty()) {
        fields = curl_slist_append(fields, ("Banyanledge-Change-Id: " + changeId).c_str());
    }
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(fields, curl_slist_free_all);
    OperatorReply reply;
    curl_easy_setopt(curl.get(), CURLOPT_URL, ("http://" + server + path).c_str());
    curl_easy_setopt(curl.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl.get(), CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(m_options.attemptTimeout.count()));
    if (method != "GET") {
        curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, body.c_str());
    }
    ResponseCheck check;
    curl_easy_setopt(curl.get(), CURLOPT_HEADERFUNCTION, ResponseCheck::readLine);
    curl_easy_setopt(curl.get(), CURLOPT_HEADERDATA, &check);
    curl_easy_setopt(curl.get(), CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, ResponseCheck::readBody);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &check);
    if (curl_easy_perform(curl.get()) == CURLE_OK && check.complete()) {
        reply.body = check.body();
        long status = 0;
        curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
        reply.status = static_cast<unsigned>(status);
    }
    return reply;
}

OperatorReply OperatorClient::send(const std::string &method, const std::string &path, const std::string &body,
                                   const std::string &changeId) const
{
    const Time end = Clock::now() + m_options.timeout;
    OperatorReply last;
    for (;;) {
        for (const std::string &server : m_options.servers) {
            OperatorReply reply = sendOnce(server, method, path, body, changeId);
            if (!isRetryable(reply.status)) {
                return reply;
            }
            if (reply.status != 0) {
                last = std::move(reply);
            }
            if (Clock::now() >= end) {
                return last;
            }
        }
        std::this_thread::sleep_for(retryDelay);
    }
}

std::optional<proto::TableContent> OperatorClient::read(const std::string &path) const
{
    const OperatorReply reply = send("GET", path, "", "");
    if (reply.status != 200) {
        const Error error = errorFromReply(reply);
        return fail(error.kind, error.message);
    }
    proto::TableContent content;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    if (!google::protobuf::util::JsonStringToMessage(reply.body, &content, options).ok()) {
        return fail(proto::ERROR_INVALID,
                    "cannot parse the control host's response; use the banyanledge version of the control host");
    }
    return content;
}

Error errorFromReply(const OperatorReply &reply)
{
    if (reply.status == 0) {
        return {proto::ERROR_UNAVAILABLE, "no control host responded; check --server and try again"};
    }
    google::protobuf::Struct object;
    if (!google::protobuf::util::JsonStringToMessage(reply.body, &object).ok()
        || stringField(object, "message").empty()) {
        return {proto::ERROR_INVALID,
                "the server responded with HTTP status " + std::to_string(reply.status)
                    + "; check that --server names control hosts"};
    }
    return {parseErrorKind(stringField(object, "kind")),
            stringField(object, "message") + "; " + stringField(object, "remedy")};
}

std::string pathSegment(const std::string &text)
{
    char *escaped = curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size()));
    std::string segment = escaped;
    curl_free(escaped);
    return segment;
}

} // namespace banyanledge
