#include "transfer_duty.hpp"

#include <kumquatpath/edge/fleet_codec.hpp>
#include <kumquatpath/edge/log.hpp>
#include <kumquatpath/edge/tcp_endpoint.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>

namespace kumquatpath
{
namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// A teller serves few at a time, so that each is done soon and can tell others.
constexpr std::size_t most_sessions = 6;
constexpr auto session_timeout = std::chrono::milliseconds(1500);
constexpr std::size_t length_size = 4;

/// Returns \p message behind its length.
std::vector<std::byte> framed(const std::vector<std::byte>& message)
{
    std::vector<std::byte> frame(length_size);
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                                 static_cast<std::uint32_t>(message.size()));
    frame.insert(frame.end(), message.begin(), message.end());
    return frame;
}

} // namespace

/// One connection: a frame goes each way. It closes itself after session_timeout.
struct transfer_duty::session : std::enable_shared_from_this<session>
{
    using handler = std::function<void(payload_view)>;

    session(transfer_duty& duty, tcp::socket connected)
        : owner(duty), socket(std::move(connected)), deadline(socket.get_executor())
    {
        ++owner.open_sessions_;
    }

    ~session()
    {
        --owner.open_sessions_;
    }

    void start_deadline()
    {
        deadline.expires_after(session_timeout);
        deadline.async_wait(
            [self = weak_from_this()](const boost::system::error_code& failure)
            {
                const auto alive = self.lock();
                if (alive && !failure)
                {
                    boost::system::error_code ignored;
                    alive->socket.close(ignored);
                }
            });
    }

    /// Reads one frame and gives it to \p then; an over-long frame ends the session.
    void read(handler then)
    {
        asio::async_read(
            socket, asio::buffer(length),
            [self = shared_from_this(), then = std::move(then)](
                const boost::system::error_code& failure, std::size_t /*size*/) mutable
            {
                const std::size_t size = boost::endian::load_big_u32(self->length.data());
                if (failure || size > max_fleet_frame_bytes)
                {
                    return;
                }
                self->incoming.resize(size);
                self->read_body(std::move(then));
            });
    }

    void read_body(handler then)
    {
        asio::async_read(
            socket, asio::buffer(incoming),
            [self = shared_from_this(), then = std::move(then)](
                const boost::system::error_code& failure, std::size_t /*size*/)
            {
                if (!failure)
                {
                    then(self->incoming);
                }
            });
    }

    void write(const std::vector<std::byte>& message, std::function<void()> then)
    {
        outgoing = framed(message);
        asio::async_write(
            socket, asio::buffer(outgoing),
            [self = shared_from_this(), then = std::move(then)](
                const boost::system::error_code& failure, std::size_t /*size*/)
            {
                if (!failure)
                {
                    then();
                }
            });
    }

    transfer_duty& owner;
    tcp::socket socket;
    asio::steady_timer deadline;
    std::array<unsigned char, length_size> length{};
    std::vector<std::byte> incoming;
    std::vector<std::byte> outgoing;
};

transfer_duty::transfer_duty(const transfer_options& options,
                             std::function<void(packet_input)> output)
    : options_(options), output_(std::move(output)),
      acceptor_(context_, to_tcp_endpoint(options.local))
{
    accept();
}

asio::io_context& transfer_duty::context()
{
    return context_;
}

void transfer_duty::run()
{
    const auto work = asio::make_work_guard(context_);
    context_.run();
}

void transfer_duty::stop()
{
    context_.stop();
}

void transfer_duty::accept()
{
    acceptor_.async_accept(
        [this](const boost::system::error_code& failure, tcp::socket socket)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            if (!failure && open_sessions_ < most_sessions)
            {
                const auto opened = std::make_shared<session>(*this, std::move(socket));
                opened->start_deadline();
                opened->read(
                    [this, weak = std::weak_ptr(opened)](payload_view message)
                    {
                        if (const auto alive = weak.lock())
                        {
                            answer(alive, message);
                        }
                    });
            }
            accept();
        });
}

void transfer_duty::answer(const std::shared_ptr<session>& opened, payload_view message)
{
    const auto read = decode_fleet_message(message, options_.key, max_fleet_frame_bytes);
    const auto* const request = read ? std::get_if<state_request>(&read->body) : nullptr;
    if (request == nullptr)
    {
        log(log_level::warning, "peer_request_refused", {{"bytes", message.size()}});
        return;
    }
    const auto send = [this, opened](const state_reply& reply)
    {
        asio::post(context_,
                   [this, opened, reply]
                   {
                       const fleet_message whole{.sender = options_.self, .body = reply};
                       opened->write(encode_fleet_message(whole, options_.key), [] {});
                   });
    };
    output_(state_was_asked{.request = *request, .answer = send});
}

void transfer_duty::ask(const ask_peer& order)
{
    const auto opened = std::make_shared<session>(*this, tcp::socket(context_));
    opened->start_deadline();
    const fleet_message request{.sender = options_.self, .body = order.request};
    // The guard outlives every step of the session, so that a failed one ends as well.
    const std::shared_ptr<void> guard(nullptr,
                                      [this](void*) { output_(asking_ended{}); });
    opened->socket.async_connect(
        to_tcp_endpoint(order.peer),
        [this, opened, guard, by = order.instance,
         message = encode_fleet_message(request, options_.key)](
            const boost::system::error_code& failure)
        {
            if (failure)
            {
                return;
            }
            const auto read_answer = [this, weak = std::weak_ptr(opened), guard, by]
            {
                if (const auto alive = weak.lock())
                {
                    alive->read([this, guard, by](payload_view answered)
                                { take_reply(by, answered); });
                }
            };
            opened->write(message, read_answer);
        });
}

void transfer_duty::take_reply(instance_id by, payload_view message)
{
    const auto read = decode_fleet_message(message, options_.key, max_fleet_frame_bytes);
    const auto* const reply = read ? std::get_if<state_reply>(&read->body) : nullptr;
    if (reply == nullptr)
    {
        log(log_level::warning, "peer_reply_refused",
            {{"peer", by.value}, {"bytes", message.size()}});
        return;
    }
    state_was_told told{.by = by, .reply = *reply};
    if (!told.reply.configuration_text.empty())
    {
        told.table = options_.read_configuration(told.reply.configuration_text);
    }
    output_(std::move(told));
}

} // namespace kumquatpath
