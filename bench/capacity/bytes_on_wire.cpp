#include <capacity/bytes_on_wire.hpp>
#include <capacity/target_size.hpp>

namespace kumquatpath::bench
{

double bytes_on_wire(const peer_body& body)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<std::byte> bytes;
    encode_peer(builder, {.sender = {1}, .sequence = 1, .body = body}, {}, bytes);
    return static_cast<double>(bytes.size()) + datagram_overhead;
}

} // namespace kumquatpath::bench
