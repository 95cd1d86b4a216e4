#ifndef KUMQUATPATH_EDGE_PLATFORM_CLIENT_HPP
#define KUMQUATPATH_EDGE_PLATFORM_CLIENT_HPP

/// \file
/// The platform's key-value service over its HTTP/JSON protocol.

#include <kumquatpath/edge/http_client.hpp>
#include <kumquatpath/edge/key_value_store.hpp>

#include <boost/json/value.hpp>

namespace kumquatpath
{

/// How the platform is called.
struct platform_options
{
    endpoint server;
    /// The bound of one call; a waiting read gets it on top of its wait.
    std::chrono::milliseconds timeout{2000};
};

/// Calls the platform. An object belongs to one thread at a time.
class platform_client final : public key_value_store
{
public:
    explicit platform_client(const platform_options& options);

    boost::leaf::result<stored_value> read(std::string_view key) override;
    boost::leaf::result<std::optional<stored_value>>
    read_newer(std::string_view key, revision known,
               std::chrono::milliseconds wait) override;
    boost::leaf::result<std::vector<stored_value>> list(std::string_view prefix) override;
    boost::leaf::result<std::vector<platform_instance>> instances() override;
    boost::leaf::result<revision> write(const write_options& options) override;
    boost::leaf::result<void> erase(std::string_view key, revision expected) override;
    boost::leaf::result<lease_id>
    grant_lease(std::chrono::milliseconds lifetime) override;
    boost::leaf::result<void> renew_lease(lease_id lease) override;
    boost::leaf::result<void> revoke_lease(lease_id lease) override;

private:
    boost::leaf::result<http_answer> call(http_request request);
    boost::leaf::result<boost::json::value> call_for_json(http_request request);

    http_client client_;
    std::chrono::milliseconds timeout_;
};

/// Reads the platform's list of instances from its JSON form. Fails with
/// store_malformed_answer.
boost::leaf::result<std::vector<platform_instance>>
parse_instances(const boost::json::value& answer);

} // namespace kumquatpath

#endif
