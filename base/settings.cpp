#include "base/settings.h"

#include <arpa/inet.h>

#define SI_NO_CONVERSION // no conversion of character sets: the text is UTF-8
#include <SimpleIni.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/util/message_differencer.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <limits>
#include <sstream>

#include "base/error.h"

namespace banyanledge
{

namespace
{

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::util::MessageDifferencer;

// Position of a key in a settings file, for error messages.
struct Location
{
    std::string file;
    int line = 0; // 0: the file doesn't contain the key
    std::string section;
    std::string key;
};

std::string locationPrefix(const Location &location)
{
    std::string text = location.file;
    if (location.line > 0) {
        text += ":" + std::to_string(location.line);
    }
    return text + ": [" + location.section + "] " + location.key + ": ";
}

std::string trim(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

// Line of a key, or of a section if the key is empty; 0 if not found. SimpleIni doesn't report line numbers, so error
// messages search the text again.
int lineOf(const std::string &text, const std::string &section, const std::string &key)
{
    std::istringstream stream(text);
    std::string line;
    std::string current;
    for (int number = 1; std::getline(stream, line); ++number) {
        line = trim(line);
        if (line.size() > 1 && line.front() == '[') {
            current = line.substr(1, line.find(']') - 1);
            if (key.empty() && current == section) {
                return number;
            }
        } else if (current == section && trim(line.substr(0, line.find('='))) == key) {
            return number;
        }
    }
    return 0;
}

std::string fieldNames(const Descriptor *section)
{
    std::string names;
    for (int i = 0; i < section->field_count(); ++i) {
        names += (i > 0 ? ", " : "") + section->field(i)->name();
    }
    return names;
}

template<typename Number>
std::optional<Number> parseNumber(const std::string &text, const proto::ValueRule &rule, const Location &location)
{
    Number value{};
    const char *end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, value);
    const bool bounded = rule.maximum() > rule.minimum();
    const auto number = static_cast<double>(value);
    const bool isNumber = code == std::errc() && rest == end && std::isfinite(number);
    if (!isNumber || (bounded && (number < rule.minimum() || number > rule.maximum()))) {
        std::ostringstream message;
        message.precision(std::numeric_limits<double>::digits10);
        message << locationPrefix(location) << "'" << text << "' is not accepted; write a number";
        if (bounded) {
            message << " from " << rule.minimum() << " to " << rule.maximum();
        }
        message << " (" << rule.help() << ")";
        return fail(proto::ERROR_INVALID, message.str());
    }
    return value;
}

bool setText(Message &section, const FieldDescriptor *field, const std::string &text, const Location &location)
{
    const proto::ValueRule &rule = field->options().GetExtension(proto::rule);
    if (rule.address() && !text.empty() && !isAddress(text)) {
        fail(proto::ERROR_INVALID,
             locationPrefix(location) + "'" + text + "' is not IP:PORT; write e.g. 127.0.0.1:8080");
        return false;
    }
    const auto *reflection = section.GetReflection();
    if (field->is_repeated()) {
        reflection->AddString(&section, field, text);
    } else {
        reflection->SetString(&section, field, text);
    }
    return true;
}

bool setList(Message &section, const FieldDescriptor *field, const std::string &text, const Location &location)
{
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ',')) {
        item = trim(item);
        if (!item.empty() && !setText(section, field, item, location)) {
            return false;
        }
    }
    return true;
}

bool setValue(Message &section, const FieldDescriptor *field, const std::string &text, const Location &location)
{
    const proto::ValueRule &rule = field->options().GetExtension(proto::rule);
    const auto *reflection = section.GetReflection();
    if (field->is_repeated()) {
        return setList(section, field, text, location);
    }
    if (field->cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
        return setText(section, field, text, location);
    }
    if (field->cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
        if (text != "true" && text != "false") {
            fail(proto::ERROR_INVALID,
                 locationPrefix(location) + "'" + text + "' is not accepted; write true or false");
            return false;
        }
        reflection->SetBool(&section, field, text == "true");
        return true;
    }
    if (field->cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
        const auto value = parseNumber<std::uint32_t>(text, rule, location);
        if (value) {
            reflection->SetUInt32(&section, field, *value);
        }
        return value.has_value();
    }
    if (field->cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
        const auto value = parseNumber<double>(text, rule, location);
        if (value) {
            reflection->SetDouble(&section, field, *value);
        }
        return value.has_value();
    }
    const auto value = parseNumber<std::uint64_t>(text, rule, location);
    if (value) {
        reflection->SetUInt64(&section, field, *value);
    }
    return value.has_value();
}

// Rejects sections and keys that are not in the schema, so that a misspelled key doesn't silently keep its default.
bool checkNames(const CSimpleIniA &ini, const std::string &text, const std::string &file)
{
    const Descriptor *settings = proto::Settings::descriptor();
    CSimpleIniA::TNamesDepend sections;
    ini.GetAllSections(sections);
    for (const auto &entry : sections) {
        const std::string section = entry.pItem;
        const FieldDescriptor *field = settings->FindFieldByName(section);
        if (field == nullptr) {
            const Location location{file, lineOf(text, section, ""), section, ""};
            fail(proto::ERROR_INVALID,
                 locationPrefix(location) + "unknown section; the sections are " + fieldNames(settings));
            return false;
        }
        CSimpleIniA::TNamesDepend keys;
        ini.GetAllKeys(entry.pItem, keys);
        for (const auto &key : keys) {
            if (field->message_type()->FindFieldByName(key.pItem) == nullptr) {
                const Location location{file, lineOf(text, section, key.pItem), section, key.pItem};
                fail(proto::ERROR_INVALID,
                     locationPrefix(location) + "unknown key; the keys of this section are "
                         + fieldNames(field->message_type()));
                return false;
            }
        }
    }
    return true;
}

bool readSection(Message &section, const std::string &name, const CSimpleIniA &ini, const std::string &text,
                 const std::string &file)
{
    const Descriptor *type = section.GetDescriptor();
    for (int i = 0; i < type->field_count(); ++i) {
        const FieldDescriptor *field = type->field(i);
        const proto::ValueRule &rule = field->options().GetExtension(proto::rule);
        const char *found = ini.GetValue(name.c_str(), field->name().c_str(), nullptr);
        const Location location{file, found ? lineOf(text, name, field->name()) : 0, name, field->name()};
        const std::string value = found ? trim(found) : rule.fallback();
        if (value.empty()) {
            if (rule.required()) {
                fail(proto::ERROR_INVALID,
                     locationPrefix(location) + "missing value; write " + field->name() + " = " + rule.help());
                return false;
            }
            continue;
        }
        if (!setValue(section, field, value, location)) {
            return false;
        }
    }
    return true;
}

// Whether a field has the same value in two messages of one type.
bool equalValues(const Message &a, const Message &b, const FieldDescriptor *field)
{
    MessageDifferencer differencer;
    const std::vector<const FieldDescriptor *> fields{field};
    return differencer.CompareWithFields(a, b, fields, fields);
}

// Fails if a key that an enabled role needs is absent.
bool checkRoleKey(bool present, const std::string &file, const std::string &section, const std::string &key)
{
    if (!present) {
        fail(proto::ERROR_INVALID,
             locationPrefix({file, 0, section, key}) + "missing value; the " + section
                 + " role is enabled and needs it");
    }
    return present;
}

bool checkElectionTimeout(const proto::ControlSettings &control, const std::string &file)
{
    const auto reject = [&file](const std::string &reason) {
        fail(proto::ERROR_INVALID, locationPrefix({file, 0, "control", "election_timeout_ms"}) + reason);
        return false;
    };
    if (control.election_timeout_ms() < 3 * control.heartbeat_ms()) {
        return reject(
            "contradicts heartbeat_ms; write at least 3 times heartbeat_ms, so that one lost heartbeat starts "
            "no election");
    }
    if (control.election_timeout_ms() < 2 * control.round_trip_ms()) {
        return reject("contradicts round_trip_ms; write at least 2 times round_trip_ms, because an election takes two "
                      "round trips between control hosts");
    }
    return true;
}

bool checkRoles(const proto::Settings &settings, const std::string &file)
{
    const auto &entry = settings.entry();
    const auto &control = settings.control();
    const auto &gateway = settings.gateway();
    if (!entry.enabled() && !control.enabled() && !gateway.enabled()) {
        fail(proto::ERROR_INVALID,
             file + ": no role is enabled; write enabled = true under [entry], [gateway] or [control]");
        return false;
    }
    if (entry.enabled()
        && (!checkRoleKey(!entry.listen().empty(), file, "entry", "listen")
            || !checkRoleKey(entry.control_hosts_size() > 0, file, "entry", "control_hosts"))) {
        return false;
    }
    if (gateway.enabled()
        && (!checkRoleKey(!gateway.listen().empty(), file, "gateway", "listen")
            || !checkRoleKey(!gateway.ready_listen().empty(), file, "gateway", "ready_listen")
            || !checkRoleKey(entry.control_hosts_size() > 0, file, "entry", "control_hosts"))) {
        return false;
    }
    if (!control.enabled()) {
        return true;
    }
    if (!checkRoleKey(!control.data_folder().empty(), file, "control", "data_folder")
        || !checkRoleKey(!control.operators_listen().empty() || !control.declaration_listen().empty(), file, "control",
                         "operators_listen")
        || !checkRoleKey(control.operators_listen().empty() || !control.operators_file().empty(), file, "control",
                         "operators_file")
        || !checkRoleKey(control.initial_members_size() > 0 || control.seeds_size() > 0, file, "control",
                         "initial_members")) {
        return false;
    }
    for (const std::string &member : control.initial_members()) {
        const auto equals = member.find('=');
        if (equals == std::string::npos || equals == 0 || !isAddress(member.substr(equals + 1))) {
            fail(proto::ERROR_INVALID,
                 locationPrefix({file, 0, "control", "initial_members"}) + "'" + member + "' is not ID=IP:PORT");
            return false;
        }
    }
    return checkElectionTimeout(control, file);
}

} // namespace

bool isAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    std::string ip = text.substr(0, colon);
    const std::string port = text.substr(colon + 1);
    unsigned number = 0;
    const auto [rest, code] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (code != std::errc() || rest != port.data() + port.size() || number == 0 || number > 65535) {
        return false;
    }
    in_addr v4{};
    in6_addr v6{};
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        return inet_pton(AF_INET6, ip.substr(1, ip.size() - 2).c_str(), &v6) == 1;
    }
    return inet_pton(AF_INET, ip.c_str(), &v4) == 1;
}

std::optional<proto::Settings> parseSettings(const std::string &text, const std::string &file)
{
    CSimpleIniA ini;
    if (ini.LoadData(text) < 0) {
        return fail(proto::ERROR_INVALID, file + ": not an INI file; write sections in [brackets] and key = value");
    }
    if (!checkNames(ini, text, file)) {
        return std::nullopt;
    }
    proto::Settings settings;
    const auto *reflection = settings.GetReflection();
    const Descriptor *type = proto::Settings::descriptor();
    for (int i = 0; i < type->field_count(); ++i) {
        const FieldDescriptor *field = type->field(i);
        if (!readSection(*reflection->MutableMessage(&settings, field), field->name(), ini, text, file)) {
            return std::nullopt;
        }
    }
    if (!checkRoles(settings, file)) {
        return std::nullopt;
    }
    return settings;
}

std::optional<proto::Settings> readSettings(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return fail(proto::ERROR_IO, path + ": cannot be read; check the path and its permissions");
    }
    return parseSettings(text.str(), path);
}

std::vector<std::string> changesForRestart(const proto::Settings &running, const proto::Settings &changed)
{
    std::vector<std::string> names;
    const auto *sections = running.GetReflection();
    for (int i = 0; i < proto::Settings::descriptor()->field_count(); ++i) {
        const FieldDescriptor *section = proto::Settings::descriptor()->field(i);
        const Message &before = sections->GetMessage(running, section);
        const Message &after = sections->GetMessage(changed, section);
        for (int k = 0; k < section->message_type()->field_count(); ++k) {
            const FieldDescriptor *field = section->message_type()->field(k);
            if (!field->options().GetExtension(proto::rule).reloaded() && !equalValues(before, after, field)) {
                names.push_back("[" + section->name() + "] " + field->name());
            }
        }
    }
    return names;
}

std::string settingsHelp()
{
    std::ostringstream out;
    const Descriptor *type = proto::Settings::descriptor();
    for (int i = 0; i < type->field_count(); ++i) {
        out << "[" << type->field(i)->name() << "]\n";
        const Descriptor *section = type->field(i)->message_type();
        for (int k = 0; k < section->field_count(); ++k) {
            const proto::ValueRule &rule = section->field(k)->options().GetExtension(proto::rule);
            out << "  " << section->field(k)->name() << ": " << rule.help();
            if (rule.required()) {
                out << " (required)";
            } else if (!rule.fallback().empty()) {
                out << " (default " << rule.fallback() << ")";
            }
            if (rule.reloaded()) {
                out << " (reloaded)";
            }
            out << "\n";
        }
    }
    return out.str();
}

std::vector<std::string> withPort(const google::protobuf::RepeatedPtrField<std::string> &addresses, std::uint32_t port)
{
    std::vector<std::string> result;
    for (const std::string &address : addresses) {
        result.push_back(port == 0 ? address : address.substr(0, address.rfind(':') + 1) + std::to_string(port));
    }
    return result;
}

} // namespace banyanledge
