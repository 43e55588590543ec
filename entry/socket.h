// Socket of a client connection for RESTinio that delivers only whole messages that passed the framing checks.
#pragma once

#include <asio.hpp>
#include <restinio/connection_state_listener.hpp>

#include <array>
#include <memory>
#include <string>
#include <utility>

#include "entry/framing.h"

namespace banyanledge
{

// Body size limit for all connections of one server, kept in its io_context because RESTinio constructs sockets from
// that alone.
class FramingLimits : public asio::execution_context::service
{
public:
    using key_type = FramingLimits; // NOLINT(readability-identifier-naming) name required by Asio
    static inline asio::execution_context::id id; // NOLINT(readability-identifier-naming) name required by Asio

    explicit FramingLimits(asio::execution_context &context, std::uint64_t maxBodyBytes = 8388608)
        : asio::execution_context::service(context)
        , maxBodyBytes(maxBodyBytes)
    {
    }

    const std::uint64_t maxBodyBytes;

private:
    void shutdown() override
    {
    }
};

class ValidatingSocket
{
    struct State : std::enable_shared_from_this<State>
    {
        explicit State(asio::io_context &context)
            : socket(context)
            , validator(asio::use_service<FramingLimits>(context).maxBodyBytes)
        {
        }

        // Reads until a validated message is available. After a rejection it keeps reading and discards the data, to
        // notice the end of the connection.
        template<typename Buffer, typename Handler>
        void read(const Buffer &to, Handler handler)
        {
            const auto executor = asio::get_associated_executor(handler);
            socket.async_read_some(
                asio::buffer(input),
                asio::bind_executor(executor,
                                    [self = this->shared_from_this(), to, handler = std::move(handler)](
                                        const asio::error_code &error, std::size_t size) mutable {
                                        if (error) {
                                            handler(error, 0);
                                            return;
                                        }
                                        self->validator.feed({self->input.data(), size});
                                        if (self->validator.takeContinue()) {
                                            self->sendContinue();
                                        }
                                        if (self->validator.availableBytes() == 0) {
                                            self->read(to, std::move(handler));
                                            return;
                                        }
                                        handler(error, self->validator.take(static_cast<char *>(to.data()), to.size()));
                                    }));
        }

        // Nothing else was written on this connection yet, so the few bytes fit into its send buffer. A failed write
        // shows at the next read.
        void sendContinue()
        {
            const std::string line = "HTTP/1.1 100 Continue\r\n\r\n";
            asio::error_code ignored;
            asio::write(socket, asio::buffer(line), ignored);
        }

        // Reads and discards what the client still sends, for at most a second: closing a socket with unread data
        // resets the connection, and the client might lose the error response.
        void linger()
        {
            const auto strand = asio::make_strand(socket.get_executor());
            auto timer = std::make_shared<asio::steady_timer>(strand, std::chrono::seconds(1));
            timer->async_wait([self = shared_from_this()](const asio::error_code &) {
                asio::error_code ignored;
                self->socket.close(ignored);
            });
            drain(timer, 0);
        }

        void drain(const std::shared_ptr<asio::steady_timer> &timer, std::size_t droppedBytes)
        {
            constexpr std::size_t maxDroppedBytes = 4194304;
            const auto next = [self = shared_from_this(), timer, droppedBytes](const asio::error_code &error,
                                                                               std::size_t size) {
                if (error || droppedBytes > maxDroppedBytes) {
                    timer->cancel();
                    return;
                }
                self->drain(timer, droppedBytes + size);
            };
            socket.async_read_some(asio::buffer(input), asio::bind_executor(timer->get_executor(), next));
        }

        asio::ip::tcp::socket socket;
        MessageValidator validator;
        std::array<char, 16384> input{};
        bool closed = false;
    };

public:
    using executor_type = asio::ip::tcp::socket::executor_type; // NOLINT(readability-identifier-naming) Asio's name

    explicit ValidatingSocket(asio::io_context &context)
        : m_context(&context)
        , m_state(std::make_shared<State>(context))
    {
    }

    // RESTinio accepts the next connection into the socket it moved from.
    ValidatingSocket(ValidatingSocket &&other) noexcept
        : m_context(other.m_context)
        , m_state(std::exchange(other.m_state, std::make_shared<State>(*other.m_context)))
    {
    }

    ValidatingSocket &operator=(ValidatingSocket &&other) noexcept
    {
        std::swap(m_state, other.m_state);
        return *this;
    }

    ValidatingSocket(const ValidatingSocket &) = delete;
    ValidatingSocket &operator=(const ValidatingSocket &) = delete;
    ~ValidatingSocket() = default;

    // NOLINTBEGIN(readability-identifier-naming) names that RESTinio and Asio call
    asio::ip::tcp::socket &lowest_layer()
    {
        return m_state->socket;
    }

    executor_type get_executor()
    {
        return m_state->socket.get_executor();
    }

    bool is_open() const
    {
        return !m_state->closed && m_state->socket.is_open();
    }

    void cancel(asio::error_code &error)
    {
        m_state->socket.cancel(error);
    }

    template<typename Buffer, typename Handler>
    void async_read_some(const Buffer &to, Handler handler)
    {
        const std::size_t taken = m_state->validator.take(static_cast<char *>(to.data()), to.size());
        if (taken == 0) {
            m_state->read(to, std::move(handler));
            return;
        }
        const auto executor = asio::get_associated_executor(handler, get_executor());
        asio::post(executor, [taken, handler = std::move(handler)]() mutable { handler(asio::error_code{}, taken); });
    }

    template<typename Buffers, typename Handler>
    auto async_write_some(const Buffers &buffers, Handler &&handler)
    {
        return m_state->socket.async_write_some(buffers, std::forward<Handler>(handler));
    }

    void shutdown(asio::socket_base::shutdown_type, asio::error_code &error)
    {
        m_state->socket.shutdown(
            m_state->validator.refused() ? asio::socket_base::shutdown_send : asio::socket_base::shutdown_both, error);
    }

    void close()
    {
        if (m_state->closed) {
            return;
        }
        m_state->closed = true;
        asio::error_code ignored;
        if (m_state->validator.refused() && m_state->socket.is_open()) {
            m_state->socket.cancel(ignored);
            m_state->linger();
        } else {
            m_state->socket.close(ignored);
        }
    }
    // NOLINTEND(readability-identifier-naming)

private:
    asio::io_context *m_context;
    std::shared_ptr<State> m_state;
};

// RESTinio selects the next two functions by the type of the socket.
template<typename Connection, typename Start, typename Failed>
void prepare_connection_and_start_read(ValidatingSocket &, Connection &, Start start, Failed) // NOLINT RESTinio's name
{
    start();
}

inline restinio::impl::tls_socket_t *
make_tls_socket_pointer_for_state_listener(ValidatingSocket &) noexcept // NOLINT RESTinio's name
{
    return nullptr;
}

} // namespace banyanledge
