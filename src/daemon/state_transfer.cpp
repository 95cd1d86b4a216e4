#include "state_transfer.hpp"

#include "unexpected_error.hpp"

#include <kumquatpath/edge/compression.hpp>
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
#include <optional>

namespace kumquatpath
{
namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// An instance serves few peers at once, so that each transfer ends soon and the peer
/// that received the state can pass it on.
constexpr std::size_t max_sessions = 6;
constexpr auto session_timeout = std::chrono::milliseconds(1500);
constexpr std::size_t length_prefix_bytes = 4;
/// The longest text of a configuration that a peer may send.
constexpr std::size_t max_text_bytes = max_fleet_frame_bytes;

/// Returns a frame with the length of \p message and \p message itself.
std::vector<std::byte> with_length_prefix(const std::vector<std::byte>& message)
{
    std::vector<std::byte> frame(length_prefix_bytes);
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                                 static_cast<std::uint32_t>(message.size()));
    frame.insert(frame.end(), message.begin(), message.end());
    return frame;
}

/// Returns the text of the configuration in \p reply, or nothing if it can't be
/// decompressed.
std::optional<std::string> text_of(const state_reply& reply)
{
    return reply.is_text_compressed ? decompress(reply.configuration_text, max_text_bytes)
                                    : std::optional(reply.configuration_text);
}

} // namespace

/// One connection, which carries one frame in each direction. It is closed after
/// session_timeout.
struct state_transfer::session : std::enable_shared_from_this<session>
{
    using message_handler = std::function<void(byte_view)>;

    session(state_transfer& transfer, tcp::socket connected)
        : owner(transfer), socket(std::move(connected)), deadline(socket.get_executor())
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

    /// Reads one frame and calls \p then with its message. A message longer
    /// than max_fleet_frame_bytes ends the session.
    void read(message_handler then)
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

    void read_body(message_handler then)
    {
        asio::async_read(socket, asio::buffer(incoming),
                         [self = shared_from_this(), then = std::move(then)](
                             const boost::system::error_code& failure, std::size_t size)
                         {
                             if (!failure)
                             {
                                 self->owner.traffic_.count_received(length_prefix_bytes +
                                                                     size);
                                 then(self->incoming);
                             }
                         });
    }

    void write(const std::vector<std::byte>& message, std::function<void()> then)
    {
        outgoing = with_length_prefix(message);
        asio::async_write(socket, asio::buffer(outgoing),
                          [self = shared_from_this(), then = std::move(then)](
                              const boost::system::error_code& failure, std::size_t size)
                          {
                              if (!failure)
                              {
                                  self->owner.traffic_.count_sent(size);
                                  then();
                              }
                          });
    }

    state_transfer& owner;
    tcp::socket socket;
    asio::steady_timer deadline;
    std::array<unsigned char, length_prefix_bytes> length{};
    std::vector<std::byte> incoming;
    std::vector<std::byte> outgoing;
};

state_transfer::state_transfer(const state_transfer_options& options,
                               std::function<void(packet_worker_message)> send_message)
    : options_(options), send_message_(std::move(send_message)),
      acceptor_(context_, to_tcp_endpoint(options.local))
{
    accept();
}

asio::io_context& state_transfer::context()
{
    return context_;
}

void state_transfer::run()
{
    const auto work = asio::make_work_guard(context_);
    run_context(context_, "state_transfer");
}

void state_transfer::stop()
{
    context_.stop();
}

traffic state_transfer::total_traffic() const noexcept
{
    return traffic_.total();
}

void state_transfer::accept()
{
    acceptor_.async_accept(
        [this](const boost::system::error_code& failure, tcp::socket socket)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            accept();
            if (!failure && open_sessions_ < max_sessions)
            {
                const auto connection =
                    std::make_shared<session>(*this, std::move(socket));
                connection->start_deadline();
                connection->read(
                    [this, weak = std::weak_ptr(connection)](byte_view message)
                    {
                        if (const auto alive = weak.lock())
                        {
                            handle_request(alive, message);
                        }
                    });
            }
        });
}

void state_transfer::handle_request(const std::shared_ptr<session>& connection,
                                    byte_view message)
{
    const auto read = decode_fleet_message(message, options_.key, max_fleet_frame_bytes);
    const auto* const request = read ? std::get_if<state_request>(&read->body) : nullptr;
    if (request == nullptr)
    {
        log(log_level::warning, "peer_request_refused", {{"bytes", message.size()}});
        return;
    }
    const auto send =
        [this, connection,
         is_compressed = request->accepts_compressed_text](const state_reply& reply)
    {
        asio::post(context_,
                   [this, connection, is_compressed, reply = state_reply(reply)]() mutable
                   {
                       if (is_compressed)
                       {
                           compress_configuration(reply);
                       }
                       const fleet_message reply_message{.sender = options_.self,
                                                         .body = std::move(reply)};
                       connection->write(
                           encode_fleet_message(reply_message, options_.key), [] {});
                   });
    };
    send_message_(peer_state_request{.request = *request, .respond = send});
}

void state_transfer::compress_configuration(state_reply& reply)
{
    if (reply.configuration_text.empty())
    {
        return;
    }
    if (compressed_configuration_ != reply.configuration || compressed_text_.empty())
    {
        compressed_configuration_ = reply.configuration;
        compressed_text_ = compress(reply.configuration_text).value_or("");
    }
    if (!compressed_text_.empty())
    {
        reply.configuration_text = compressed_text_;
        reply.is_text_compressed = true;
    }
}

void state_transfer::query_peer(const peer_query& query)
{
    const auto connection = std::make_shared<session>(*this, tcp::socket(context_));
    connection->start_deadline();
    const fleet_message request{.sender = options_.self, .body = query.request};
    // Every step of the session holds a reference to the guard, so its deleter reports
    // the completion whichever step is the last, also after a failure.
    const std::shared_ptr<void> completion_guard(
        nullptr, [this](void*) { send_message_(peer_query_completion{}); });
    connection->socket.async_connect(
        to_tcp_endpoint(query.peer),
        [this, connection, completion_guard, sender = query.instance,
         message = encode_fleet_message(request, options_.key)](
            const boost::system::error_code& failure)
        {
            if (failure)
            {
                return;
            }
            const auto read_reply =
                [this, weak = std::weak_ptr(connection), completion_guard, sender]
            {
                if (const auto alive = weak.lock())
                {
                    alive->read([this, completion_guard, sender](byte_view reply)
                                { handle_reply(sender, reply); });
                }
            };
            connection->write(message, read_reply);
        });
}

void state_transfer::handle_reply(instance_id sender, byte_view message)
{
    const auto read = decode_fleet_message(message, options_.key, max_fleet_frame_bytes);
    const auto* const reply = read ? std::get_if<state_reply>(&read->body) : nullptr;
    const std::optional<std::string> text =
        reply == nullptr ? std::nullopt : text_of(*reply);
    if (!text)
    {
        log(log_level::warning, "peer_reply_refused",
            {{"peer", sender.value}, {"bytes", message.size()}});
        return;
    }
    peer_reply received{.sender = sender, .reply = *reply};
    received.reply.configuration_text = *text;
    received.reply.is_text_compressed = false;
    if (!received.reply.configuration_text.empty())
    {
        received.table = options_.parse_configuration(
            received.reply.configuration_text, received.reply.configuration.revision);
    }
    send_message_(std::move(received));
}

} // namespace kumquatpath
