#include "control/tableobjects.h"

#include "base/digest.h"

namespace banyanledge
{

namespace
{

bool hasObjects(const proto::TableContent &content)
{
    return content.customers_size() + content.keys_size() + content.rows_size() + content.servers_size()
            + content.shifts_size() + content.members_size() + content.tombstones_size() + content.evacuations_size()
            + content.blocked_requests_size()
        > 0
        || content.has_declaration();
}

// Removes an object unless it was put again after its removal within the same delta.
template<typename Object>
void applyTombstone(std::map<std::string, Object> &objects, const proto::Tombstone &tombstone)
{
    const auto found = objects.find(tombstone.key());
    if (found != objects.end() && found->second.revision() < tombstone.revision()) {
        objects.erase(found);
    }
}

} // namespace

void applyContent(TableObjects &objects, const proto::TableContent &content, bool snapshot)
{
    if (snapshot) {
        objects.members.clear();
        objects.servers.clear();
        objects.shifts.clear();
        objects.blockedRequests.clear();
    }
    objects.revision = content.revision();
    if (snapshot || hasObjects(content)) {
        objects.changed = content.revision();
    }
    for (const auto &member : content.members()) {
        objects.members[member.id()] = member;
    }
    for (const auto &server : content.servers()) {
        objects.servers[server.id()] = server;
    }
    for (const auto &shift : content.shifts()) {
        objects.shifts[shift.id()] = shift;
    }
    for (const auto &request : content.blocked_requests()) {
        objects.blockedRequests[request.id()] = request;
    }
    if (content.has_declaration()) {
        objects.declaration = content.declaration();
        objects.declaration.clear_original();
    }
    for (const auto &tombstone : content.tombstones()) {
        if (tombstone.kind() == "server") {
            applyTombstone(objects.servers, tombstone);
        } else if (tombstone.kind() == "member") {
            applyTombstone(objects.members, tombstone);
        } else if (tombstone.kind() == "blocked") {
            applyTombstone(objects.blockedRequests, tombstone);
        }
    }
}

proto::Command systemCommand()
{
    proto::Command command;
    command.set_change_id("system-" + std::to_string(randomId()) + "-" + std::to_string(randomId()));
    command.set_actor("system");
    return command;
}

} // namespace banyanledge
