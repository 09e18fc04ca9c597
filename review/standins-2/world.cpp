#include "world.hpp"

#include <fcntl.h>
#include <openssl/sha.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <stdexcept>

namespace review {
namespace {

using nlohmann::json;

constexpr std::size_t kPieceBytes = 24576;
constexpr Milliseconds kHeartbeat(1200);
constexpr Milliseconds kPollStep(1);
/// Requests that wait at a runner for a slot.
constexpr int kQueue = 24;
/// Bounds of the site file.
constexpr int kVersionMs = 8000;

std::string ToBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const auto byte =
          i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U;
      group = group << 8U | byte;
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool used = i + k <= bytes.size();
      text += used ? kDigits[(group >> (18U - 6U * k)) & 63U] : '=';
    }
  }
  return text;
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string RandomName(std::size_t size) {
  static constexpr char kLetters[] = "0123456789abcdef";
  std::random_device random;
  std::string name;
  while (name.size() < size) {
    name += kLetters[random() % 16];
  }
  return name;
}

json Route(const std::string& name, const std::string& prefix,
           const std::string& kind, const std::string& service) {
  return {{"name", name},
          {"host", kHost},
          {"pathPrefix", prefix},
          {"kind", kind},
          {"timeoutMs", 6000},
          {"targetLatencyMs", 400},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", 2},
          {"public", false},
          {"sticky", kind == "streaming"},
          {"resumable", kind == "streaming"},
          {"targetGapMs", 400}};
}

}  // namespace

Record::Record(const std::string& path) : file_(path, std::ios::trunc) {}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  const std::chrono::duration<double> at = Clock::now() - begun_;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%8.3f s  ", at.count());
  file_ << text.data() << line << std::endl;
}

Store::Store(const std::string& ip)
    : server_(std::make_unique<Server>(
          ip, kStorePort,
          [this](const Request& request, Connection& connection) {
            return Handle(request, connection);
          })) {}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    ended_ = true;
  }
  changed_.notify_all();
  server_->Stop();
}

void Store::Put(const std::string& key, const json& value) {
  const std::lock_guard lock(mutex_);
  auto& item = items_[key];
  item.created_ = item.rev_ == 0 || item.removed_ ? rev_ + 1 : item.created_;
  item.value_ = value.dump();
  item.rev_ = ++rev_;
  item.removed_ = false;
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  auto& item = items_[key];
  item.rev_ = ++rev_;
  item.removed_ = true;
  changed_.notify_all();
}

json Store::ItemsAfter(const std::string& prefix, std::uint64_t rev,
                       bool events) {
  auto items = json::array();
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || item.rev_ <= rev ||
        (item.removed_ && !events)) {
      continue;
    }
    if (item.removed_) {
      items.push_back({{"tlsKey", key}, {"rev", item.rev_}, {"removed", true}});
    } else {
      items.push_back({{"tlsKey", key},
                       {"value", ToBase64(item.value_)},
                       {"rev", item.rev_},
                       {"createdAt", item.created_},
                       {"lease", 0}});
    }
  }
  return items;
}

bool Store::Handle(const Request& request, Connection& connection) {
  auto prefix = request.Query("pathPrefix");
  for (auto at = prefix.find("%2F"); at != std::string::npos;
       at = prefix.find("%2F")) {
    prefix.replace(at, 3, "/");
  }
  const Headers headers{{"Content-Type", "application/json"}};
  std::unique_lock lock(mutex_);
  if (request.Path() == "/kv-range") {
    const json body{{"items", ItemsAfter(prefix, 0, false)},
                    {"morePages", false},
                    {"asOf", rev_}};
    lock.unlock();
    return connection.Respond(200, headers, body.dump());
  }
  if (request.Path() != "/kv-watch") {
    lock.unlock();
    return connection.Respond(404, headers, "");
  }
  const auto after = std::stoull("0" + request.Query("afterRev"));
  const auto until =
      Clock::now() + Milliseconds(std::stoi("0" + request.Query("waitMs")));
  auto items = ItemsAfter(prefix, after, true);
  while (items.empty() && !ended_ && Clock::now() < until) {
    changed_.wait_until(lock, until);
    items = ItemsAfter(prefix, after, true);
  }
  const json body{{"events", items}, {"asOf", rev_}};
  lock.unlock();
  return connection.Respond(200, headers, body.dump());
}

std::string Piece(std::uint64_t version, std::size_t index) {
  std::minstd_rand random(static_cast<unsigned>(version * 1000 + index + 1));
  std::string bytes(kPieceBytes, '\0');
  std::ranges::generate(bytes, [&] { return static_cast<char>(random()); });
  return bytes;
}

std::string Sha256(const std::string& bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  std::string hex;
  for (const auto byte : digest) {
    std::array<char, 3> text{};
    std::snprintf(text.data(), text.size(), "%02x", byte);
    hex += text.data();
  }
  return hex;
}

Origin::Origin(const std::string& ip, std::size_t pieces,
               Milliseconds piece_time, Record& record)
    : pieces_(pieces),
      piece_time_(piece_time),
      record_(record),
      server_(std::make_unique<Server>(
          ip, kOriginPort,
          [this](const Request& request, Connection& connection) {
            return Handle(request, connection);
          })) {}

bool Origin::Handle(const Request& request, Connection& connection) {
  ++answers_;
  const auto newest = newest_.load();
  const auto text = request.Query("version");
  const auto version = text.empty() ? newest : std::stoull(text);
  if (version > newest || version + 2 <= newest) {
    return connection.Respond(version > newest ? 404 : 410, {}, "");
  }
  if (request.Path().starts_with("/manifest/")) {
    auto digests = json::array();
    for (std::size_t index = 0; index < pieces_; ++index) {
      digests.push_back(Sha256(Piece(version, index)));
    }
    const bool spoil = spoil_next_.exchange(false);
    if (spoil) {
      ++spoilt_;
      auto digest = digests.at(pieces_ / 2).get<std::string>();
      digest[7] = digest[7] == '0' ? '1' : '0';
      digests[pieces_ / 2] = digest;
    }
    record_.Write("origin: manifest of version " + std::to_string(version) +
                  (spoil ? ", one digit spoilt" : ""));
    const json body{{"model", kModel},
                    {"version", version},
                    {"chunkBytes", kPieceBytes},
                    {"layers", 16},
                    {"digests", digests}};
    return connection.Respond(200, {{"Content-Type", "application/json"}},
                              body.dump());
  }
  {
    // All callers share its link.
    const std::lock_guard lock(link_);
    std::this_thread::sleep_for(piece_time_);
  }
  return connection.Respond(
      200, {}, Piece(version, std::stoul("0" + request.Query("sampleSize"))));
}

Runner::Runner(RunnerOptions options, Store& store, Record& record)
    : options_(std::move(options)),
      store_(store),
      record_(record),
      id_("i-" + RandomName(8)),
      born_(UnixMs()) {
  for (std::size_t index = 0; options_.version_ > 0 && index < options_.pieces_;
       ++index) {
    staged_[index] = Piece(options_.version_, index);
  }
  loaded_ = staged_;
  loaded_version_ = options_.version_;
  version_ = options_.version_;
  server_ = std::make_unique<Server>(
      options_.ip_, kRunnerPort,
      [this](const Request& request, Connection& connection) {
        return Handle(request, connection);
      });
  WriteRow();
  beats_ = std::thread([this] { Beat(); });
}

Runner::~Runner() {
  ended_ = true;
  beats_.join();
  for (auto& helper : helpers_) {
    helper.join();
  }
  server_->Stop();
}

json Runner::Models() const {
  auto models = json::array();
  if (version_ > 0) {
    models.push_back({{"name", kModel},
                      {"version", version_.load()},
                      {"adapters", json::array()}});
  }
  return models;
}

void Runner::WriteRow() {
  json row{{"service", options_.service_},
           {"addr", server_->address()},
           {"zone", kZone},
           {"version", "v1"},
           {"slots", options_.slots_},
           {"state", "ready"},
           {"coldLeftMs", 0},
           {"seq", ++beat_},
           {"born", born_.load()}};
  if (options_.pieces_ > 0) {
    row["stage"] = "both";
    row["models"] = Models();
  }
  store_.Put("servers/" + id_, row);
}

void Runner::Beat() {
  auto next = Clock::now() + kHeartbeat;
  while (!ended_) {
    std::this_thread::sleep_for(10 * kPollStep);
    if (Clock::now() >= next && up_) {
      next += kHeartbeat;
      WriteRow();
    }
  }
}

void Runner::FallSilent(Milliseconds time) {
  silent_until_ = Clock::now() + time;
}

void Runner::WaitWhileSilent() const {
  while (Clock::now() < silent_until_.load()) {
    std::this_thread::sleep_for(kPollStep);
  }
}

std::string Runner::Unsound() const {
  const std::lock_guard lock(mutex_);
  std::string wrong;
  for (std::size_t index = 0; index < options_.pieces_; ++index) {
    const auto found = loaded_.find(index);
    if (found == loaded_.end() ||
        found->second != Piece(loaded_version_, index)) {
      wrong += (wrong.empty() ? "" : ",") + std::to_string(index);
    }
  }
  return wrong;
}

bool Runner::Handle(const Request& request, Connection& connection) {
  WaitWhileSilent();
  const auto path = request.Path();
  if (path == "/report") {
    const auto body = Report().dump();
    WaitWhileSilent();
    return connection.Respond(200, {{"Content-Type", "application/json"}},
                              body);
  }
  if (path == "/healthz") {
    return connection.Respond(200, {{"Instance-Id", id_}}, "");
  }
  if (path == "/order") {
    return HandleOrder(request, connection);
  }
  if (path.starts_with("/stage-")) {
    return HandleStaged(request, connection);
  }
  return HandleRequest(request, connection);
}

json Runner::Report() {
  return {{"stage", "both"},
          {"models", Models()},
          {"busySlots", loading_.load()},
          {"seq", seq_.load()},
          {"queued", waiting_.load()},
          {"active", running_.load()},
          {"kvUsed", 0},
          {"kvTotal", 317000},
          {"handles", 0},
          {"born", born_.load()}};
}

bool Runner::HandleStaged(const Request& request, Connection& connection) {
  const auto index = std::stoul("0" + request.Query("sampleSize"));
  std::string bytes;
  bool found = true;
  {
    const std::lock_guard lock(mutex_);
    if (request.method_ == "PUT") {
      staged_[index] = request.body_;
    } else if (staged_.contains(index)) {
      bytes = staged_.at(index);
    } else {
      found = false;
    }
  }
  if (request.method_ == "PUT") {
    record_.Write("runner " + id_ + ": piece " + std::to_string(index) +
                  " staged");
  }
  WaitWhileSilent();
  return connection.Respond(found ? 200 : 404, {}, bytes);
}

bool Runner::HandleOrder(const Request& request, Connection& connection) {
  const auto order = json::parse(request.body_);
  const auto version = order.at("version").get<std::uint64_t>();
  record_.Write("runner " + id_ + ": order for version " +
                std::to_string(version) + " has arrived");
  if (on_order_) {
    on_order_();
  }
  WaitWhileSilent();
  if (version == version_) {
    return connection.Respond(200, {}, "");
  }
  if (loading_.exchange(true)) {
    return connection.Respond(409, {}, "");
  }
  {
    const std::lock_guard lock(mutex_);
    ++seq_;
    loaded_ = staged_;
    loaded_version_ = version;
    helpers_.emplace_back([this, version] { Load(version); });
  }
  const auto wrong = Unsound();
  record_.Write(
      "runner " + id_ + ": order for version " + std::to_string(version) +
      " taken, pieces that are not its: " + (wrong.empty() ? "none" : wrong));
  return connection.Respond(202, {}, "");
}

void Runner::Load(std::uint64_t version) {
  // Loads after what is running.
  while (running_ > 0 && !ended_) {
    std::this_thread::sleep_for(kPollStep);
  }
  std::this_thread::sleep_for(options_.warmup_);
  version_ = version;
  loading_ = false;
  record_.Write("runner " + id_ + ": runs version " + std::to_string(version));
  WriteRow();
}

bool Runner::HandleRequest(const Request& request, Connection& connection) {
  const Headers own{{"Attempt-Id", request.Header("attempt-id")},
                    {"Instance-Id", id_}};
  const auto version = request.Header("expect-version");
  const bool other_version =
      !version.empty() && version != std::to_string(version_.load());
  if (request.Header("expect-instance") != id_ || other_version) {
    return connection.Respond(421, own, "");
  }
  const bool unloaded = options_.pieces_ > 0 && (loading_ || version_ == 0);
  if (unloaded || waiting_ >= kQueue) {
    auto headers = own;
    headers.emplace_back("Not-Executed", "1");
    return connection.Respond(503, headers, "");
  }
  ++waiting_;
  while (!TakeSlot() && up_ && !ended_) {
    std::this_thread::sleep_for(kPollStep);
  }
  --waiting_;
  if (!up_ || ended_) {
    return false;
  }
  const bool keep = work_ && work_(request, connection);
  --running_;
  return keep;
}

bool Runner::TakeSlot() {
  int running = running_;
  return running < static_cast<int>(options_.slots_) &&
         running_.compare_exchange_strong(running, running + 1);
}

void Runner::Crash(Milliseconds down, bool power) {
  if (!up_.exchange(false)) {
    return;
  }
  ++crashes_;
  record_.Write("runner " + id_ + ": crashes");
  const std::lock_guard lock(mutex_);
  helpers_.emplace_back([this, down, power] {
    server_->Stop();
    {
      const std::lock_guard inner(mutex_);
      // Restarted runners hold no layers; the staging survives a crash.
      if (options_.pieces_ > 0) {
        loaded_.clear();
        loaded_version_ = 0;
        version_ = 0;
      }
      if (power) {
        staged_.clear();
      }
      seq_ = 0;
      loading_ = false;
    }
    const auto until = Clock::now() + down;
    while (Clock::now() < until && !ended_) {
      std::this_thread::sleep_for(kPollStep);
    }
    if (ended_) {
      return;
    }
    born_ = UnixMs();
    server_->Start();
    up_ = true;
    WriteRow();
    record_.Write("runner " + id_ + ": is back");
  });
}

Process::Process(const std::vector<std::string>& words,
                 const std::string& log) {
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (const auto& word : words) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  const auto parent = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(127);
    }
    const int file =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
  }
  if (pid_ < 0) {
    throw std::runtime_error("cannot start " + words.front());
  }
}

Process::~Process() { Kill(); }

void Process::Kill() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

void Process::Signal(int number) const {
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

World::World(const std::string& folder)
    : record_(folder + "/record.txt"),
      folder_((std::filesystem::temp_directory_path() /
               ("review-2-" + RandomName(8)))
                  .string()) {
  ::signal(SIGPIPE, SIG_IGN);
  std::filesystem::create_directories(folder_);
  std::random_device random;
  // Another subnet of the loopback network, if a port of this one is in use.
  for (int tries = 0; store_ == nullptr; ++tries) {
    subnet_ = "127." + std::to_string(20 + random() % 200) + "." +
              std::to_string(random() % 250) + ".";
    try {
      store_ = std::make_unique<Store>(Ip(200));
    } catch (const std::exception&) {
      if (tries == 20) {
        throw;
      }
    }
  }
}

World::~World() {
  nodes_.clear();
  std::error_code error;
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::cerr << "logs: " << folder_ << "\n";
  } else {
    std::filesystem::remove_all(folder_, error);
  }
}

std::string World::Ip(int machine) const {
  return subnet_ + std::to_string(machine);
}

void World::PutConfig(const std::string& origin, std::size_t pieces) {
  const json engine{{"slots", 16},
                    {"kvCapacity", 317000},
                    {"stride", 5},
                    {"models", {{{"name", kModel}, {"warmupS", 0.3}}}},
                    {"step_ms", 9.27},
                    {"per_seq_ms", 0.0232},
                    {"context_per_k", 0.0322},
                    {"read_per_s", 20700.0},
                    {"usual", {{"prompt", 979}, {"answer", 92}}},
                    {"layers", 16},
                    {"chunks", pieces},
                    {"chunkBytes", kPieceBytes}};
  auto services = json::array(
      {{{"name", "plain"}, {"healthPath", "/healthz"}, {"maxConns", 100}}});
  if (pieces > 0) {
    services.push_back({{"name", "pool"},
                        {"healthPath", "/healthz"},
                        {"maxConns", 424},
                        {"engine", engine}});
    services.push_back({{"name", "source"},
                        {"origin", origin},
                        {"zone", kZone},
                        {"maxConns", 48}});
  }
  store_->Put(
      "op/config",
      {{"version", 7},
       {"routes",
        {Route("r-pool", "/pool/", "streaming", "pool"),
         Route("r-stream", "/stream/", "streaming", "plain"),
         Route("r-plain", "/plain/", "idempotent", "plain"),
         Route("r-once", "/once/", "non_idempotent", "plain")}},
       {"services", services},
       {"limits",
        {{"maxHeaderBytes", 16384},
         {"maxBodyBytes", 4194304},
         {"headerTimeoutMs", 3000},
         {"idleTimeoutMs", 15000}}},
       {"tenants",
        {{{"name", "bozi300"}, {"apiKeys", {kKey}}, {"priority", 1}}}}});
}

void World::NameVersion(std::uint64_t version) {
  store_->Put("op/version/" + kModel,
              {{"model", kModel}, {"version", version}});
  record_.Write("operator: names version " + std::to_string(version));
}

void World::Start(int machine, const std::string& role,
                  const std::string& text) {
  const auto name = folder_ + "/" + role + "-" + std::to_string(machine);
  std::ofstream(name + ".ini") << text;
  nodes_[machine] = std::make_unique<Process>(
      std::vector<std::string>{"target/chalkwelld", role, "--adapter",
                               "platform", "--config", name + ".ini"},
      name + ".log");
}

// The text that the platform makes of platform/entry.ini.tmpl.
void World::StartEntry(int machine, bool bootstrap) {
  const auto ip = Ip(machine) + ":";
  Start(machine, "entry",
        "[instance]\nid = edge-" + std::to_string(machine) + "\ndomain = " +
            kZone + "\n[listen]\ncaller = " + ip + std::to_string(kFrontPort) +
            "\nready = " + ip + std::to_string(kReadyPort) + "\npeer = " + ip +
            std::to_string(kPeerPort) + "\nadmin = " + ip +
            std::to_string(kAdminPort) +
            "\n[platform]\naddress = " + store_->address() +
            "\nwatch_wait_ms = 25000\nleave_bound_ms = 2000\n"
            "renewal_ms = 1200\n" +
            (bootstrap ? "first_read_wait_ms = 2500\n" : "") +
            "[mesh]\nseeds = " + Ip(10) + ":" + std::to_string(kPeerPort) +
            "\n[routing]\nregion = " + kZone +
            ":port-louis\n[requests]\nretry_share = 0.2\n"
            "retry_reserve = 102\n[rollout]\nversion_bound_ms = " +
            std::to_string(kVersionMs) +
            "\n[process]\nmemory_mb = 260\nmax_descriptors = 4100\n"
            "[stop]\ndrain_ms = 7500\n[log]\nformat = json\n");
}

// The text that the platform makes of platform/agent.ini.tmpl.
void World::StartAgent(int machine, const std::string& service,
                       bool bootstrap) {
  const auto ip = Ip(machine) + ":";
  Start(machine, "agent",
        "[instance]\nid = side-" + std::to_string(machine) + "\ndomain = " +
            kZone + "\n[listen]\npeer = " + ip + std::to_string(kPeerPort) +
            "\nadmin = " + ip + std::to_string(kAdminPort) +
            "\n[platform]\naddress = " + store_->address() +
            "\nwatch_wait_ms = 25000\n[endpoint]\nbackend = " + ip +
            std::to_string(kRunnerPort) + "\nrole = " + service +
            (bootstrap ? "\nfacts_wait_ms = 4000" : "") +
            "\n[mesh]\nseeds = " + Ip(10) + ":" + std::to_string(kPeerPort) +
            "\n[weights]\nlink_mbps = 7.3\n[rollout]\nversion_bound_ms = " +
            std::to_string(kVersionMs) +
            "\n[stop]\ndrain_ms = 1000\n[log]\nformat = json\n");
}

bool World::WaitReady(int machine) const {
  const auto until = Clock::now() + std::chrono::seconds(15);
  while (Clock::now() < until) {
    const auto answer =
        Call(Ip(machine), kReadyPort,
             "GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
             Milliseconds(1000));
    if (answer.status_ == 200) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return false;
}

Answer World::Send(int entry, const std::string& method,
                   const std::string& path, const std::string& extra,
                   const std::string& body, Milliseconds time_budget) {
  const auto number = std::to_string(++requests_);
  const auto id =
      "a" + std::string(8 - std::min<std::size_t>(number.size(), 8), '0') +
      number;
  record_.Write("client: sends " + id + " " + method + " " + path +
                " to edge-" + std::to_string(entry));
  auto answer =
      Call(Ip(entry), kFrontPort,
           method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
               "\r\nAttempt-Id: " + id +
               "\r\nDeadline-Ms: " + std::to_string(time_budget.count()) +
               "\r\nAuthorization: Bearer " + kKey +
               "\r\nConnection: close\r\n" + extra +
               (method == "POST"
                    ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
                    : "") +
               "\r\n" + body,
           time_budget + Milliseconds(500));
  record_.Write("client: gets " + id + " " + std::to_string(answer.status_) +
                ", " + std::to_string(answer.body_.size()) + " bytes, " +
                (answer.complete_ ? "complete" : "not complete"));
  return answer;
}

bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

int RunCase(const std::function<int()>& main_case) noexcept {
  try {
    return main_case();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case cannot run: %s\n", error.what());
    return 2;
  }
}

std::string FolderOf(int count, char** arguments) {
  return count > 1 ? arguments[1] : ".";
}

}  // namespace review
