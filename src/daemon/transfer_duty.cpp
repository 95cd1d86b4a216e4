#include "transfer_duty.hpp"

#include <kumquatpath/edge/log.hpp>
#include <kumquatpath/edge/peer_codec.hpp>
#include <kumquatpath/model/configuration_envelope.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <array>

namespace kumquatpath
{
namespace
{

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using tcp = asio::ip::tcp;

constexpr std::size_t most_sessions = 64;
constexpr auto session_timeout = std::chrono::seconds(5);
constexpr std::size_t length_size = 4;

tcp::endpoint to_tcp(const endpoint& value)
{
    return {asio::ip::address_v4(value.address), value.port};
}

std::size_t read_length(const std::array<unsigned char, length_size>& bytes)
{
    std::size_t length = 0;
    for (const unsigned char each : bytes)
    {
        length = (length << 8U) | each;
    }
    return length;
}

/// Returns \p message behind its length.
std::vector<std::byte> framed(const std::vector<std::byte>& message)
{
    std::vector<std::byte> frame;
    frame.reserve(length_size + message.size());
    for (const unsigned shift : {24U, 16U, 8U, 0U})
    {
        frame.push_back(static_cast<std::byte>((message.size() >> shift) & 0xffU));
    }
    frame.insert(frame.end(), message.begin(), message.end());
    return frame;
}

std::vector<std::byte> encoded(instance_id sender, const peer_body& body,
                               const peer_key& key)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<std::byte> message;
    encode_peer(builder, {.sender = sender, .body = body}, key, message);
    return message;
}

/// Returns the configuration in \p text after its check, or nothing.
std::shared_ptr<const configuration> checked(const std::string& text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::shared_ptr<const configuration>>
        {
            BOOST_LEAF_AUTO(whole, read_envelope(text));
            return std::make_shared<const configuration>(std::move(whole));
        },
        []() { return std::shared_ptr<const configuration>(); });
}

} // namespace

/// One connection: a frame goes each way. It ends itself after session_timeout.
struct transfer_duty::session : std::enable_shared_from_this<session>
{
    session(transfer_duty& duty, tcp::socket connected)
        : owner(duty), socket(std::move(connected)), deadline(socket.get_executor())
    {
        ++owner.open_sessions_;
        is_counted = true;
    }

    ~session()
    {
        owner.open_sessions_ -= is_counted ? 1U : 0U;
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
    void read(std::function<void(payload_view)> then)
    {
        asio::async_read(
            socket, asio::buffer(length),
            [self = shared_from_this(), then = std::move(then)](
                const boost::system::error_code& failure, std::size_t /*size*/) mutable
            {
                const std::size_t size = read_length(self->length);
                if (failure || size > longest_peer_frame)
                {
                    return;
                }
                self->incoming.resize(size);
                self->read_body(std::move(then));
            });
    }

    void read_body(std::function<void(payload_view)> then)
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
    bool is_counted = false;
};

transfer_duty::transfer_duty(const daemon_settings& settings,
                             std::function<void(packet_message)> output)
    : settings_(settings), output_(std::move(output)),
      acceptor_(context_, to_tcp(settings.peer))
{
    accept();
}

asio::io_context& transfer_duty::context()
{
    return context_;
}

void transfer_duty::run()
{
    context_.run();
}

void transfer_duty::stop()
{
    context_.stop();
}

void transfer_duty::handle(const transfer_message& message)
{
    if (const auto* const order = std::get_if<fetch_configuration>(&message))
    {
        fetch(*order);
        return;
    }
    published_ = std::get<publish_configuration>(message);
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
            boost::system::error_code unknown;
            const auto source =
                failure ? tcp::endpoint() : socket.remote_endpoint(unknown);
            const bool is_welcome =
                !failure && !unknown && open_sessions_ < most_sessions &&
                is_in(settings_.peer_networks, source.address().to_v4().to_uint());
            if (is_welcome)
            {
                const auto opened = std::make_shared<session>(*this, std::move(socket));
                opened->start_deadline();
                opened->read(
                    [this, weak = std::weak_ptr(opened)](payload_view message)
                    {
                        const auto alive = weak.lock();
                        const auto reply = reply_to(message);
                        if (alive && !reply.empty())
                        {
                            alive->write(reply, [] {});
                        }
                    });
            }
            accept();
        });
}

std::vector<std::byte> transfer_duty::reply_to(payload_view message)
{
    const auto read = decode_peer(message, settings_.key, longest_peer_frame);
    if (!read)
    {
        return {};
    }
    const auto* const request = std::get_if<configuration_request>(&read->body);
    if (request == nullptr)
    {
        return {};
    }
    configuration_reply reply{.generation = published_.number,
                              .members = published_.members};
    if (published_.text && published_.number > request->newer_than)
    {
        reply.envelope = *published_.text;
    }
    return encoded(id_of<instance_id>(settings_.name), reply, settings_.key);
}

void transfer_duty::fetch(const fetch_configuration& order)
{
    if (is_fetching_)
    {
        return;
    }
    is_fetching_ = true;
    const auto opened = std::make_shared<session>(*this, tcp::socket(context_));
    opened->start_deadline();
    const auto request = encoded(id_of<instance_id>(settings_.name),
                                 configuration_request{order.newer_than}, settings_.key);
    // The guard outlives every step of the session, so that a failed fetch ends as well.
    const std::shared_ptr<void> guard(nullptr, [this](void*) { is_fetching_ = false; });
    opened->socket.async_connect(
        to_tcp(order.peer),
        [this, opened, request, guard](const boost::system::error_code& failure)
        {
            if (failure)
            {
                return;
            }
            opened->write(request,
                          [this, weak = std::weak_ptr(opened), guard]
                          {
                              if (const auto alive = weak.lock())
                              {
                                  alive->read([this, guard](payload_view message)
                                              { take_reply(message); });
                              }
                          });
        });
}

void transfer_duty::take_reply(payload_view message)
{
    const auto read = decode_peer(message, settings_.key, longest_peer_frame);
    if (!read)
    {
        return;
    }
    const auto* const reply = std::get_if<configuration_reply>(&read->body);
    if (reply == nullptr)
    {
        return;
    }
    output_(members_listed{.members = reply->members, .is_from_peer = true});
    if (reply->envelope.empty())
    {
        return;
    }
    const auto whole = checked(reply->envelope);
    if (!whole)
    {
        log(log_level::error, "configuration_refused", {{"from", "peer"}});
        return;
    }
    output_(checked_envelope{.whole = whole,
                             .text = std::make_shared<std::string>(reply->envelope)});
}

} // namespace kumquatpath
