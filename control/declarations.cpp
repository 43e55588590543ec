#include "control/declarations.h"

#include "base/log.h"
#include "control/tableobjects.h"

namespace banyanledge
{

namespace
{

void logResult(const char *event, const std::string &subject, const proto::CommandResult &result)
{
    logInfo(event,
            {{"subject", subject},
             {"result", kindName(result.kind())},
             {"message", result.message()},
             {"revision", std::to_string(result.revision())},
             {"version_in_force", std::to_string(result.version())}});
}

proto::Command operatorCommand()
{
    proto::Command command = systemCommand();
    command.set_actor("operator");
    return command;
}

} // namespace

Declarations::Declarations(LeaderClient &leader)
    : m_leader(leader)
{
}

proto::CommandResult Declarations::put(const proto::Declaration &declaration, milliseconds timeout)
{
    proto::Command command = operatorCommand();
    *command.mutable_put_declaration()->mutable_declaration() = declaration;
    auto result = m_leader.propose(command, Clock::now() + timeout);
    logResult("declaration proposed", std::to_string(declaration.version()), result);
    return result;
}

proto::CommandResult Declarations::evacuate(const std::string &zone, bool active, const OrderCaller &caller)
{
    proto::Command command = operatorCommand();
    command.mutable_set_evacuation()->set_availability_zone(zone);
    command.mutable_set_evacuation()->set_active(active);
    auto result = m_leader.proposeOrder(command, caller);
    logResult(active ? "start of evacuation proposed" : "end of evacuation proposed", zone, result);
    return result;
}

std::optional<proto::Declaration> Declarations::read(milliseconds timeout)
{
    proto::ReadRequest request;
    request.set_declaration(true);
    auto reply = m_leader.read(request, Clock::now() + timeout);
    if (reply.kind() != proto::ERROR_NONE) {
        return fail(reply.kind(), reply.message());
    }
    return std::move(*reply.mutable_content()->mutable_declaration());
}

} // namespace banyanledge
