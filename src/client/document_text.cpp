#include "client/document_text.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;

constexpr std::size_t indent_width = 2;

bool has_objects(const json::object& object)
{
    return std::ranges::any_of(object, [](const auto& member)
                               { return member.value().is_object(); });
}

void write(std::string& out, const json::value& value, std::size_t indent)
{
    const json::object* const object = value.if_object();
    if (object == nullptr)
    {
        out += json::serialize(value);
        return;
    }
    const bool is_multiline = has_objects(*object);
    const std::string separator = is_multiline
                                      ? ",\n" + std::string(indent + indent_width, ' ')
                                      : std::string(", ");
    out +=
        is_multiline ? "{\n" + std::string(indent + indent_width, ' ') : std::string("{");
    bool is_first = true;
    for (const auto& member : *object)
    {
        out += is_first ? "" : separator;
        out += json::serialize(member.key()) + ": ";
        write(out, member.value(), indent + indent_width);
        is_first = false;
    }
    out += is_multiline ? '\n' + std::string(indent, ' ') + '}' : std::string("}");
}

} // namespace

std::string to_text(const json::value& document)
{
    std::string out;
    write(out, document, 0);
    return out + '\n';
}

} // namespace kumquatpath
