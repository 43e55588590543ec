#include "apps/declaration.h"

#define SI_NO_CONVERSION // no conversion of character sets: the text is UTF-8
#include <SimpleIni.h>
#include <google/protobuf/util/json_util.h>

#include <charconv>
#include <sstream>

#include "apps/client.h"
#include "base/log.h"

namespace banyanledge
{

namespace
{

constexpr std::uint32_t maxWeight = 1000;

// Key and value in a section, and their location for error messages.
struct Setting
{
    std::string location; // "FILE: [section] key"
    std::string key;
    std::string value;
};

bool failAt(const std::string &location, const std::string &remedy)
{
    fail(proto::ERROR_INVALID, location + ": " + remedy);
    return false;
}

template<typename Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number value{};
    const char *end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, value);
    return code == std::errc() && rest == end ? std::optional(value) : std::nullopt;
}

bool parseBool(const Setting &setting, bool &flag)
{
    if (setting.value != "true" && setting.value != "false") {
        return failAt(setting.location, "'" + setting.value + "' is not accepted; write true or false");
    }
    flag = setting.value == "true";
    return true;
}

bool parseUnsigned(const Setting &setting, std::uint32_t largest, std::uint32_t &value)
{
    const auto parsed = parseNumber<std::uint32_t>(setting.value);
    if (!parsed || *parsed > largest) {
        return failAt(setting.location,
                      "'" + setting.value + "' is not accepted; write a whole number from 0 to "
                          + std::to_string(largest));
    }
    value = *parsed;
    return true;
}

bool parseNonNegative(const Setting &setting, double &value)
{
    const auto parsed = parseNumber<double>(setting.value);
    if (!parsed || !(*parsed >= 0)) {
        return failAt(setting.location, "'" + setting.value + "' is not accepted; write a number of at least 0");
    }
    value = *parsed;
    return true;
}

bool parseRowSetting(const Setting &setting, DeclaredRow &declared)
{
    proto::Row &row = declared.row;
    std::uint32_t whole = 0;
    double amount = 0;
    bool flag = false;
    bool ok = false;
    if (setting.key == "weight") {
        ok = parseUnsigned(setting, maxWeight, whole);
        row.set_weight(whole);
    } else if (setting.key == "max_in_flight") {
        ok = parseUnsigned(setting, UINT32_MAX, whole);
        row.set_max_in_flight(whole);
    } else if (setting.key == "rate") {
        ok = parseNonNegative(setting, amount);
        row.set_rate(amount);
    } else if (setting.key == "burst") {
        ok = parseNonNegative(setting, amount);
        row.set_burst(amount);
    } else if (setting.key == "open") {
        ok = parseBool(setting, flag);
        row.set_open(flag);
    } else if (setting.key == "absent") {
        ok = parseBool(setting, declared.absent);
    } else {
        failAt(setting.location,
               "unknown key; the keys of a row are weight, rate, burst, max_in_flight, open and absent");
    }
    return ok;
}

// Keys and values of a section in the order of the file.
std::vector<Setting> sectionSettings(const CSimpleIniA &ini, const std::string &section, const std::string &location)
{
    CSimpleIniA::TNamesDepend keys;
    ini.GetAllKeys(section.c_str(), keys);
    keys.sort(CSimpleIniA::Entry::LoadOrder());
    std::vector<Setting> settings;
    for (const auto &key : keys) {
        const std::string name = key.pItem;
        settings.push_back(
            {std::string(location).append(" ").append(name), name, ini.GetValue(section.c_str(), key.pItem, "")});
    }
    return settings;
}

bool parseCustomer(const std::vector<std::string> &words, const std::vector<Setting> &settings,
                   const std::string &location, TableDeclaration &declaration)
{
    if (words.size() != 2) {
        return failAt(location, "write [customer NAME]");
    }
    bool active = true;
    for (const Setting &setting : settings) {
        if (setting.key != "active") {
            return failAt(setting.location, "unknown key; the key of a customer is active");
        }
        if (!parseBool(setting, active)) {
            return false;
        }
    }
    declaration.customers[words[1]] = active;
    return true;
}

bool parseRow(const std::vector<std::string> &words, const std::vector<Setting> &settings, const std::string &location,
              TableDeclaration &declaration)
{
    if (words.size() != 4) {
        return failAt(location, "write [row SERVICE REGION CUSTOMER], with * for any");
    }
    DeclaredRow declared;
    declared.row.set_service(words[1]);
    declared.row.set_region(words[2]);
    declared.row.set_customer(words[3]);
    for (const Setting &setting : settings) {
        if (!parseRowSetting(setting, declared)) {
            return false;
        }
    }
    if (declared.absent ? settings.size() > 1 : settings.empty()) {
        return failAt(location, "write the fields of the row, or only absent = true");
    }
    declaration.rows[words[1] + "/" + words[2] + "/" + words[3]] = declared;
    return true;
}

// Rejects duplicate sections. SimpleIni merges them, which would hide a contradiction in the file.
bool checkDuplicateSections(const std::string &text, const std::string &file)
{
    std::map<std::string, int> lines;
    std::istringstream stream(text);
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
        const auto first = line.find_first_not_of(" \t");
        if (first == std::string::npos || line[first] != '[') {
            continue;
        }
        const auto [found, added] = lines.try_emplace(line.substr(first, line.find(']') - first), number);
        if (!added) {
            return failAt(file + ":" + std::to_string(number),
                          "duplicate of the section in line " + std::to_string(found->second) + "; keep one of them");
        }
    }
    return true;
}

bool equalFields(const proto::Row &a, const proto::Row &b)
{
    return a.has_weight() == b.has_weight() && a.weight() == b.weight() && a.has_rate() == b.has_rate()
        && a.rate() == b.rate() && a.has_burst() == b.has_burst() && a.burst() == b.burst()
        && a.has_max_in_flight() == b.has_max_in_flight() && a.max_in_flight() == b.max_in_flight()
        && a.has_open() == b.has_open() && a.open() == b.open();
}

std::string toJson(const google::protobuf::Message &message)
{
    std::string text;
    google::protobuf::util::MessageToJsonString(message, &text);
    return text;
}

std::string describeRow(const proto::Row &row)
{
    std::ostringstream text;
    if (row.has_weight()) {
        text << " weight=" << row.weight();
    }
    if (row.has_rate()) {
        text << " rate=" << row.rate();
    }
    if (row.has_burst()) {
        text << " burst=" << row.burst();
    }
    if (row.has_max_in_flight()) {
        text << " max_in_flight=" << row.max_in_flight();
    }
    if (row.has_open()) {
        text << " open=" << (row.open() ? "true" : "false");
    }
    return text.str().empty() ? " (no field)" : text.str();
}

void planCustomer(const std::string &name, bool active, const proto::Customer *stored,
                  std::vector<PlannedChange> &changes)
{
    const std::string path = "/v1/customers/" + pathSegment(name);
    if (stored == nullptr) {
        changes.push_back({"+ customer " + name, "POST", "/v1/customers", "{\"name\":" + jsonString(name) + "}"});
    }
    const bool isActive = stored == nullptr || stored->active();
    if (isActive && !active) {
        changes.push_back({"~ customer " + name + ": cancel", "POST", path + "/cancel", ""});
    } else if (!isActive && active) {
        changes.push_back({"~ customer " + name + ": return", "POST", path + "/return", ""});
    }
}

void planRow(const DeclaredRow &declared, const proto::Row *stored, std::vector<PlannedChange> &changes)
{
    const std::string name =
        "row " + declared.row.service() + " " + declared.row.region() + " " + declared.row.customer();
    if (declared.absent) {
        if (stored != nullptr) {
            proto::DeleteRow change;
            change.set_service(stored->service());
            change.set_region(stored->region());
            change.set_customer(stored->customer());
            change.set_expected_version(stored->version());
            changes.push_back({"- " + name + ":" + describeRow(*stored), "DELETE", "/v1/rows", toJson(change)});
        }
        return;
    }
    if (stored != nullptr && equalFields(declared.row, *stored)) {
        return;
    }
    proto::PutRow change;
    *change.mutable_row() = declared.row;
    change.set_expected_version(stored == nullptr ? 0 : stored->version());
    const std::string summary = stored == nullptr
        ? "+ " + name + ":" + describeRow(declared.row)
        : "~ " + name + ":" + describeRow(*stored) + " ->" + describeRow(declared.row);
    changes.push_back({summary, "PUT", "/v1/rows", toJson(change)});
}

} // namespace

std::optional<TableDeclaration> parseDeclaration(const std::string &text, const std::string &file)
{
    CSimpleIniA ini;
    if (ini.LoadData(text) < 0) {
        return fail(proto::ERROR_INVALID, file + ": not an INI file; write sections in [brackets] and key = value");
    }
    if (!checkDuplicateSections(text, file)) {
        return std::nullopt;
    }
    TableDeclaration declaration;
    CSimpleIniA::TNamesDepend sections;
    ini.GetAllSections(sections);
    for (const auto &section : sections) {
        const std::string name = section.pItem;
        const std::string location = std::string(file).append(": [").append(name).append("]");
        std::istringstream stream(name);
        std::vector<std::string> words;
        for (std::string word; stream >> word;) {
            words.push_back(word);
        }
        const auto settings = sectionSettings(ini, name, location);
        const std::string kind = words.empty() ? "" : words[0];
        bool ok = false;
        if (kind == "customer") {
            ok = parseCustomer(words, settings, location, declaration);
        } else if (kind == "row") {
            ok = parseRow(words, settings, location, declaration);
        } else {
            ok = failAt(location, "unknown section; write [customer NAME] or [row SERVICE REGION CUSTOMER]");
        }
        if (!ok) {
            return std::nullopt;
        }
    }
    return declaration;
}

std::vector<PlannedChange> planChanges(const TableDeclaration &declaration, const proto::TableContent &table)
{
    std::map<std::string, const proto::Customer *> customers;
    for (const auto &customer : table.customers()) {
        customers[customer.name()] = &customer;
    }
    std::map<std::string, const proto::Row *> rows;
    for (const auto &row : table.rows()) {
        rows[row.service() + "/" + row.region() + "/" + row.customer()] = &row;
    }
    // Customers come first, because a row can only be created for an existing customer.
    std::vector<PlannedChange> changes;
    for (const auto &[name, active] : declaration.customers) {
        const auto found = customers.find(name);
        planCustomer(name, active, found == customers.end() ? nullptr : found->second, changes);
    }
    for (const auto &[key, declared] : declaration.rows) {
        const auto found = rows.find(key);
        planRow(declared, found == rows.end() ? nullptr : found->second, changes);
    }
    return changes;
}

} // namespace banyanledge
