#include "ledger/store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <filesystem>

#include "base/digest.h"
#include "ledger/fileio.h"
#include "ledger/snapshotfile.h"
#include "ledger/wal.h"

namespace banyanledge
{

struct Store::Private
{
    std::string folder;
    int lockDescriptor = -1;
    std::optional<Wal> wal;
    RaftState state;
    std::optional<proto::TableImage> image;

    ~Private()
    {
        if (lockDescriptor >= 0) {
            ::close(lockDescriptor);
        }
    }
};

namespace
{

// Creates and locks the folder, so that no two processes write to it. Returns the descriptor that holds the lock.
std::optional<int> lockFolder(const std::string &folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        return fail(proto::ERROR_IO, "cannot create " + folder + ": " + error.message() + "; check data_folder");
    }
    const auto path = folder + "/lock";
    const int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (descriptor < 0) {
        failIo("open", path);
        return std::nullopt;
    }
    if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
        ::close(descriptor);
        return fail(proto::ERROR_IO,
                    folder + " is in use by another process; stop that process or use another data_folder");
    }
    return descriptor;
}

// Combines snapshot and log into the state to start from. If the log ends before the snapshot's last entry, or has an
// entry of another term there, the process stopped after storing the snapshot and before discarding the log. The log is
// then discarded here, so that later entries are not appended to the old ones.
bool mergeSnapshotAndLog(const proto::LogSnapshot &snapshot, Wal::RecoveredLog recovered, const std::string &folder,
                         Wal &wal, RaftState &state)
{
    auto &entries = recovered.entries;
    state.snapshotIndex = snapshot.last_index();
    state.snapshotTerm = snapshot.last_term();
    state.config = snapshot.config();
    const auto first = entries.empty() ? recovered.firstIndex : entries.front().index();
    if (first > snapshot.last_index() + 1) {
        failCorrupt(folder, 0,
                    "the log starts after the end of the snapshot, so a log or snapshot file is missing; gap found");
        return false;
    }
    const auto discardLog = [&wal, &snapshot] {
        return wal.rotate(snapshot.last_index()) && wal.removeSegmentsUpTo(UINT64_MAX);
    };
    if (entries.empty() || entries.back().index() < snapshot.last_index()) {
        return (entries.empty() && recovered.firstIndex == snapshot.last_index() + 1) || discardLog();
    }
    if (first <= snapshot.last_index() && snapshot.last_index() > 0) {
        const auto position = snapshot.last_index() - first;
        if (entries[position].term() != snapshot.last_term()) {
            return discardLog();
        }
        entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(position) + 1);
    }
    state.entries = std::move(entries);
    return true;
}

} // namespace

Store::Store(std::unique_ptr<Private> priv)
    : d(std::move(priv))
{
}

Store::Store(Store &&) noexcept = default;
Store &Store::operator=(Store &&) noexcept = default;
Store::~Store() = default;

std::optional<Store> Store::open(const std::string &folder)
{
    const auto lockDescriptor = lockFolder(folder);
    if (!lockDescriptor) {
        return std::nullopt;
    }
    auto priv = std::make_unique<Private>();
    priv->folder = folder;
    priv->lockDescriptor = *lockDescriptor;
    removeTemporaryFiles(folder);
    std::optional<proto::LogSnapshot> snapshot;
    const auto path = newestSnapshot(folder);
    if (path) {
        snapshot = readSnapshot(*path);
        if (!snapshot) {
            return std::nullopt;
        }
    }
    proto::HardState initialState;
    initialState.set_identity(randomKey().substr(0, 32));
    Wal::RecoveredLog recovered;
    if (path && !Wal::exists(folder)) {
        return failCorrupt(*path, 0,
                           "the folder has this snapshot but no log files, which contain this host's votes; detected");
    }
    priv->wal = Wal::open(folder, initialState, recovered);
    if (!priv->wal) {
        return std::nullopt;
    }
    priv->state.hardState = recovered.state;
    if (!mergeSnapshotAndLog(snapshot.value_or(proto::LogSnapshot()), std::move(recovered), folder, *priv->wal,
                             priv->state)) {
        return std::nullopt;
    }
    if (snapshot) {
        priv->image = std::move(*snapshot->mutable_image());
    }
    return Store(std::move(priv));
}

RaftState Store::takeState()
{
    return std::move(d->state);
}

std::optional<proto::TableImage> Store::takeImage()
{
    return std::exchange(d->image, std::nullopt);
}

bool Store::save(const RaftOutput &output)
{
    return d->wal->append(output.hardState, output.entries);
}

bool Store::install(const proto::LogSnapshot &snapshot, bool keepEntries)
{
    if (!writeSnapshot(d->folder, snapshot)) {
        return false;
    }
    return keepEntries ? compact(snapshot.last_index())
                       : d->wal->rotate(snapshot.last_index()) && d->wal->removeSegmentsUpTo(UINT64_MAX);
}

bool Store::compact(std::uint64_t index)
{
    return d->wal->rotate() && d->wal->removeSegmentsUpTo(index);
}

std::optional<proto::LogSnapshot> Store::loadSnapshot() const
{
    const auto path = newestSnapshot(d->folder);
    if (!path) {
        return fail(proto::ERROR_NOT_FOUND, "there is no snapshot in " + d->folder + " yet; retry later");
    }
    return readSnapshot(*path);
}

const std::string &Store::folder() const
{
    return d->folder;
}

} // namespace banyanledge
