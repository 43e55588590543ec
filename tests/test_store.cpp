// Durable storage: recovery, damaged files, interrupted writes, full disks.
#include <catch2/catch.hpp>
#include <sys/resource.h>

#include <csignal>
#include <fstream>

#include "ledger/fileio.h"
#include "ledger/snapshotfile.h"
#include "ledger/store.h"
#include "ledger_group.h"

using namespace banyanledge;

namespace
{

RaftOutput outputWithEntries(std::uint64_t first, std::uint64_t count, std::uint64_t term)
{
    RaftOutput output;
    for (auto index = first; index < first + count; ++index) {
        proto::LogEntry entry;
        entry.set_index(index);
        entry.set_term(term);
        entry.mutable_command()->set_change_id("change" + std::to_string(index) + "/" + std::to_string(term));
        output.entries.push_back(entry);
    }
    return output;
}

RaftOutput outputWithVote(const std::string &identity, std::uint64_t term, const std::string &votedFor)
{
    RaftOutput output;
    output.hardState = proto::HardState();
    output.hardState->set_term(term);
    output.hardState->set_voted_for(votedFor);
    output.hardState->set_identity(identity);
    return output;
}

proto::LogSnapshot snapshotAt(std::uint64_t index, std::uint64_t term, int customers = 3)
{
    proto::LogSnapshot snapshot;
    snapshot.set_last_index(index);
    snapshot.set_last_term(term);
    snapshot.mutable_image()->mutable_content()->set_revision(index);
    for (int i = 0; i < customers; ++i) {
        snapshot.mutable_image()->mutable_content()->add_customers()->set_name("customer" + std::to_string(i));
    }
    return snapshot;
}

std::vector<std::string> listFiles(const std::string &folder)
{
    std::vector<std::string> found;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().filename() != "lock") {
            found.push_back(entry.path().string());
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

void writeFile(const std::string &path, const std::string &content)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
}

// Returns the offsets at which the frames of a file end.
std::vector<std::size_t> frameEnds(const std::string &content)
{
    std::vector<std::size_t> ends;
    for (auto frame = decodeFrame(content, 0); frame.state == FrameState::Valid;
         frame = decodeFrame(content, frame.nextOffset)) {
        ends.push_back(frame.nextOffset);
    }
    return ends;
}

// Writes a folder with a snapshot at index 4, a closed segment with entries 1 to 6, and a last segment with a vote and
// entries 7 to 9. Returns the folder's identity.
std::string writeTestFolder(const std::string &path)
{
    auto store = Store::open(path);
    REQUIRE(store);
    auto identity = store->takeState().hardState.identity();
    REQUIRE(store->save(outputWithVote(identity, 1, "c1")));
    REQUIRE(store->save(outputWithEntries(1, 4, 1)));
    REQUIRE(store->save(outputWithEntries(5, 2, 1)));
    REQUIRE(store->save(outputWithVote(identity, 1, "c3")));
    REQUIRE(writeSnapshot(path, snapshotAt(4, 1)));
    REQUIRE(store->compact(4));
    REQUIRE(store->save(outputWithVote(identity, 2, "c2")));
    REQUIRE(store->save(outputWithEntries(7, 1, 2)));
    REQUIRE(store->save(outputWithEntries(8, 2, 2)));
    return identity;
}

} // namespace

// Guards against losing entries, votes or the identity in a restart.
TEST_CASE("a restart recovers votes, identity, snapshot and entries")
{
    TemporaryFolder folder;
    const auto identity = writeTestFolder(folder.path());
    auto store = Store::open(folder.path());
    REQUIRE(store);
    CHECK_FALSE(Store::open(folder.path())); // locked
    CHECK(lastError().message.find("in use") != std::string::npos);
    const auto state = store->takeState();
    CHECK(state.hardState.identity() == identity);
    CHECK(state.hardState.term() == 2);
    CHECK(state.hardState.voted_for() == "c2");
    CHECK(state.snapshotIndex == 4);
    REQUIRE(state.entries.size() == 5);
    CHECK(state.entries.front().index() == 5);
    CHECK(state.entries.back().index() == 9);
    CHECK(store->takeImage()->content().customers_size() == 3);
}

// Guards against a recovery that returns entries that a later leader replaced. The log file still contains them, before
// the entries that replaced them.
TEST_CASE("replaced entries do not reappear after a restart")
{
    TemporaryFolder folder;
    {
        auto store = Store::open(folder.path());
        REQUIRE(store->save(outputWithEntries(1, 5, 1)));
        REQUIRE(store->save(outputWithEntries(3, 1, 2)));
    }
    const auto state = Store::open(folder.path())->takeState();
    REQUIRE(state.entries.size() == 3);
    CHECK(state.entries[2].term() == 2);
}

// Guards against entries of a conflicting log that remain after a snapshot replaced them.
TEST_CASE("an installed snapshot replaces the log")
{
    TemporaryFolder folder;
    {
        auto store = Store::open(folder.path());
        REQUIRE(store->save(outputWithEntries(1, 9, 1)));
        const auto replaced = listFiles(folder.path()).front();
        const auto content = *readFile(replaced);
        REQUIRE(store->install(snapshotAt(7, 3), false));
        CHECK(listFiles(folder.path()).size() == 2);
        REQUIRE(store->save(outputWithEntries(8, 1, 3)));
        writeFile(replaced, content); // as if the process had stopped before it removed the file
    }
    auto state = Store::open(folder.path())->takeState();
    CHECK(state.snapshotIndex == 7);
    REQUIRE(state.entries.size() == 1);
    CHECK(state.entries[0].term() == 3);
    // The process may stop after it wrote the snapshot and before it discarded the log.
    REQUIRE(writeSnapshot(folder.path(), snapshotAt(8, 4)));
    state = Store::open(folder.path())->takeState();
    CHECK(state.snapshotIndex == 8);
    CHECK(state.entries.empty());
    // Entries stored after such a recovery must not become part of the replaced log.
    REQUIRE(Store::open(folder.path())->save(outputWithEntries(9, 1, 4)));
    state = Store::open(folder.path())->takeState();
    REQUIRE(state.entries.size() == 1);
    CHECK(state.entries[0].index() == 9);
}

// Guards against starting with corrupt data, and against failing to start after an interrupted write. Flips every byte
// of every file, and truncates every file to each length.
TEST_CASE("a flipped byte is reported with file and offset, a truncation loses only the last write")
{
    TemporaryFolder original;
    const auto identity = writeTestFolder(original.path());
    const auto all = listFiles(original.path());
    REQUIRE(all.size() == 3);
    const auto &lastSegment = all[1]; // the first file is the closed segment, the third one the snapshot
    std::size_t flips = 0;
    std::size_t cuts = 0;
    for (const auto &path : all) {
        const auto content = *readFile(path);
        const auto ends = frameEnds(content);
        REQUIRE(ends.back() == content.size());
        INFO(path);
        for (std::size_t at = 0; at < content.size(); ++at, ++flips) {
            for (const char mask : {'\x01', '\xff'}) {
                auto changed = content;
                changed[at] = static_cast<char>(changed[at] ^ mask);
                writeFile(path, changed);
                INFO("flipped byte " << at);
                REQUIRE_FALSE(Store::open(original.path()));
                REQUIRE(lastError().kind == proto::ERROR_CORRUPT);
                REQUIRE(lastError().message.find(path) != std::string::npos);
                REQUIRE(lastError().message.find("offset") != std::string::npos);
                REQUIRE(lastError().message.find("join = true") != std::string::npos);
            }
        }
        for (std::size_t size = 0; size < content.size(); ++size, ++cuts) {
            std::map<std::string, std::string> backup;
            for (const auto &other : all) {
                backup[other] = *readFile(other);
            }
            writeFile(path, content.substr(0, size));
            INFO("cut to " << size);
            auto store = Store::open(original.path());
            if (path != lastSegment) {
                REQUIRE_FALSE(store);
                REQUIRE(lastError().kind == proto::ERROR_CORRUPT);
            } else {
                REQUIRE(store);
                const auto state = store->takeState();
                REQUIRE(state.hardState.identity() == identity);
                const auto completeFrames = std::upper_bound(ends.begin(), ends.end(), size) - ends.begin();
                REQUIRE(state.hardState.term() == (completeFrames >= 2 ? 2 : 1));
                const std::size_t expected = completeFrames >= 4 ? 5 : completeFrames >= 3 ? 3 : 2;
                REQUIRE(state.entries.size() == expected);
                // The next stored entries must not be combined with the rest of the interrupted write.
                REQUIRE(store->save(outputWithEntries(4 + expected + 1, 1, 2)));
                store.reset();
                store = Store::open(original.path());
                REQUIRE(store);
                REQUIRE(store->takeState().entries.size() == expected + 1);
            }
            for (const auto &other : listFiles(original.path())) {
                std::filesystem::remove(other);
            }
            for (const auto &[other, data] : backup) {
                writeFile(other, data);
            }
            writeFile(path, content);
        }
        writeFile(path, content);
    }
    CHECK(Store::open(original.path()));
    std::cout << "damage: " << flips << " bytes flipped with two masks each, " << cuts << " truncations\n";
}

// Guards against failing to start after a power loss that left unwritten sectors at the end of the last file, and
// against mistaking zeroed sectors before a synced record for such a loss.
TEST_CASE("unwritten sectors after the last sync are truncated, and before synced records they count as damage")
{
    TemporaryFolder folder;
    std::string path;
    {
        auto store = Store::open(folder.path());
        REQUIRE(store->save(outputWithEntries(1, 2, 1)));
        path = listFiles(folder.path()).front();
    }
    const auto synced = *readFile(path);
    {
        auto store = Store::open(folder.path());
        REQUIRE(store->save(outputWithEntries(3, 200, 1)));
    }
    const auto intact = *readFile(path);
    for (std::size_t sector = 512; sector + 512 < intact.size(); sector += 512) {
        INFO("sector at " << sector);
        auto changed = intact;
        std::fill_n(changed.begin() + static_cast<std::ptrdiff_t>(sector), 512, '\0');
        writeFile(path, changed);
        auto store = Store::open(folder.path());
        REQUIRE(store);
        REQUIRE(store->takeState().entries.size() == 2);
    }
    writeFile(path, synced + std::string(700, '\0'));
    CHECK(Store::open(folder.path()));
    writeFile(path, intact);
    {
        auto store = Store::open(folder.path());
        REQUIRE(store->save(outputWithEntries(203, 1, 1)));
    }
    auto changed = *readFile(path);
    std::fill_n(changed.begin() + 1024, 512, '\0');
    writeFile(path, changed);
    CHECK_FALSE(Store::open(folder.path()));
}

// Guards against starting from a log with a missing file.
TEST_CASE("missing log files are detected")
{
    TemporaryFolder folder;
    (void)writeTestFolder(folder.path());
    const auto all = listFiles(folder.path());
    std::filesystem::remove(all[2]); // the snapshot; the log still has all entries
    {
        auto store = Store::open(folder.path());
        REQUIRE(store);
        CHECK(store->takeState().entries.size() == 9);
    }
    REQUIRE(writeSnapshot(folder.path(), snapshotAt(4, 1)));
    {
        auto store = Store::open(folder.path());
        REQUIRE(store->compact(6));
    }
    std::filesystem::remove(all[1]);
    CHECK_FALSE(Store::open(folder.path()));
    CHECK(lastError().kind == proto::ERROR_CORRUPT);
}

// Guards against losing acknowledged entries, or stopping the process, when the disk is full. A limit on the file size
// makes writes fail partway, as a full disk does.
TEST_CASE("a full disk rejects proposals, keeps acknowledged entries and recovers")
{
    std::signal(SIGXFSZ, SIG_IGN);
    NodeGroup group(1);
    const auto propose = [&group](const std::string &name) {
        proto::Command command;
        command.set_change_id(name);
        command.mutable_create_customer()->set_name(name);
        return group.propose(command);
    };
    REQUIRE(propose("before").kind() == proto::ERROR_NONE);
    const auto size = std::filesystem::file_size(listFiles(group.folder("c1")).front());
    rlimit savedLimit{};
    getrlimit(RLIMIT_FSIZE, &savedLimit);
    rlimit limited = savedLimit;
    limited.rlim_cur = size + 20; // only part of the next record fits
    setrlimit(RLIMIT_FSIZE, &limited);
    const auto rejected = propose("refused");
    const auto roleWhenFull = group.node("c1")->status().role();
    setrlimit(RLIMIT_FSIZE, &savedLimit);
    CHECK(rejected.kind() == proto::ERROR_IO);
    CHECK(rejected.message().find("disk is full") != std::string::npos);
    CHECK(roleWhenFull == "leader");
    CHECK(propose("after").kind() == proto::ERROR_NONE);
    group.stop("c1");
    REQUIRE(group.start("c1"));
    CHECK(propose("before").repeated());
    CHECK(propose("after").repeated());
    group.node("c1")->readTable([](const Table &table) { CHECK(table.customers().size() == 2); });
}
