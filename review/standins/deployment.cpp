// Spells the messages as the users' pages do.
#include "deployment.hpp"

#include <fcntl.h>
#include <sodium.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <stdexcept>
#include <string_view>

namespace review {
namespace {

constexpr auto kReadyLimit = std::chrono::seconds(20);
/// Time between two events of a stream, and their number.
constexpr auto kEventGap = Milliseconds(100);
constexpr int kEvents = 20;
/// 7.3 Mbit/s.
constexpr double kOriginBytesPerSecond = 912'500;
/// Between two looks at what is still running.
constexpr auto kRunningCheck = Milliseconds(5);
constexpr int kLayers = 16;
/// Machine of the first runner.
constexpr int kFirstRunner = 20;
constexpr auto kWarmUp = Milliseconds(300);

std::string ToBase64(const std::string& bytes) {
  std::string text(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();
  return text;
}

std::string Sha256Hex(const std::string& bytes) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
  crypto_hash_sha256(digest.data(),
                     reinterpret_cast<const unsigned char*>(bytes.data()),
                     bytes.size());
  std::string hex(2 * digest.size() + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  hex.pop_back();
  return hex;
}

std::uint64_t NumberOr(const std::string& text, std::uint64_t fallback) {
  return text.empty() ? fallback : std::stoull(text);
}

void Replace(std::string& text, const std::string& from,
             const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

/// Replaces a section of a template, with its marks.
void ReplaceSection(std::string& text, const std::string& name,
                    const std::string& value) {
  const auto begin = text.find("{{#" + name + "}}\n");
  const auto end_mark = "{{/" + name + "}}\n";
  if (begin != std::string::npos) {
    text.replace(begin, text.find(end_mark) + end_mark.size() - begin, value);
  }
}

/// Fills in the platform's values. The sections of the two templates are
/// {{#zones}} and {{#bootstrap}}.
std::string Fill(std::string text,
                 const std::map<std::string, std::string>& values,
                 bool bootstrap) {
  ReplaceSection(text, "zones", values.at("zones"));
  if (!bootstrap) {
    ReplaceSection(text, "bootstrap", "");
  }
  Replace(text, "{{#bootstrap}}\n", "");
  Replace(text, "{{/bootstrap}}\n", "");
  for (const auto& [name, value] : values) {
    Replace(text, "{{" + name + "}}", value);
  }
  if (text.find("{{") != std::string::npos) {
    throw std::runtime_error("a gap is left in a template");
  }
  return text;
}

/// Empty if the variable isn't set.
std::string_view EnvironmentValue(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string_view() : std::string_view(value);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  const std::chrono::duration<double> time = Clock::now() - start_;
  std::array<char, 32> stamp{};
  std::snprintf(stamp.data(), stamp.size(), "%8.3f ", time.count());
  file_ << stamp.data() << text << std::endl;
}

Store::Store(const std::string& ip)
    : server_(std::make_unique<Server>(
          ip, 0, [this](const ChannelPtr& channel, const Message& request) {
            return Handle(channel, request);
          })) {}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

void Store::Put(const std::string& key, const Json& value) {
  {
    const std::lock_guard lock(mutex_);
    auto& item = items_[key];
    item.value_ = value.dump();
    item.revision_ = ++revision_;
    item.created_ = item.created_ == 0 ? revision_ : item.created_;
  }
  changed_.notify_all();
}

Json Store::ItemsAfter(const std::string& prefix,
                       std::uint64_t revision) const {
  auto items = Json::array();
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix) && item.revision_ > revision) {
      items.push_back({{"tlsKey", key},
                       {"value", ToBase64(item.value_)},
                       {"rev", item.revision_},
                       {"createdAt", item.created_},
                       {"lease", 0}});
    }
  }
  return items;
}

bool Store::Handle(const ChannelPtr& channel, const Message& request) {
  const auto prefix = request.Parameter("pathPrefix");
  Json answer;
  std::unique_lock lock(mutex_);
  if (request.Target().starts_with("/kv-range")) {
    answer = {{"items", ItemsAfter(prefix, 0)}, {"morePages", false}};
  } else if (request.Target().starts_with("/kv-watch")) {
    const auto after = NumberOr(request.Parameter("afterRev"), 0);
    const auto wait = NumberOr(request.Parameter("waitMs"), 0);
    changed_.wait_for(lock, Milliseconds(wait), [&] {
      return stopping_ || !ItemsAfter(prefix, after).empty();
    });
    answer = {{"events", ItemsAfter(prefix, after)}};
  } else {
    return channel->Send(ResponseText(404, {}, ""));
  }
  answer["asOf"] = revision_;
  lock.unlock();
  return channel->Send(ResponseText(
      200, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
      answer.dump()));
}

std::string Weights::Piece(std::uint64_t version, std::size_t piece) const {
  const auto mark = std::to_string(version) + "." + std::to_string(piece) + ";";
  std::string bytes;
  while (bytes.size() < bytes_) {
    bytes += mark;
  }
  bytes.resize(bytes_);
  return bytes;
}

Json Weights::Manifest(std::uint64_t version) const {
  auto digests = Json::array();
  for (std::size_t piece = 0; piece < count_; ++piece) {
    digests.push_back(Sha256Hex(Piece(version, piece)));
  }
  return {{"model", model_},
          {"version", version},
          {"chunkBytes", bytes_},
          {"layers", kLayers},
          {"digests", digests}};
}

Origin::Origin(const std::string& ip, Weights weights, Record& record)
    : weights_(std::move(weights)),
      record_(record),
      server_(std::make_unique<Server>(
          ip, 0, [this](const ChannelPtr& channel, const Message& request) {
            return Handle(channel, request);
          })) {}

bool Origin::Handle(const ChannelPtr& channel, const Message& request) {
  const auto version = NumberOr(request.Parameter("version"), 1);
  if (request.Target().starts_with("/manifest/")) {
    record_.Line("origin: sends the manifest of version " +
                 std::to_string(version));
    return channel->Send(ResponseText(200,
                                      {{"Content-Type", "application/json"}},
                                      weights_.Manifest(version).dump()));
  }
  const auto piece = NumberOr(request.Parameter("sampleSize"), 0);
  const auto bytes = weights_.Piece(version, piece);
  std::unique_lock lock(mutex_);
  const std::chrono::duration<double> time(static_cast<double>(bytes.size()) /
                                           kOriginBytesPerSecond);
  link_free_at_ = std::max(link_free_at_, Clock::now()) +
                  std::chrono::duration_cast<Clock::duration>(time);
  const auto sent_at = link_free_at_;
  lock.unlock();
  std::this_thread::sleep_until(sent_at);
  return channel->Send(ResponseText(200, {}, bytes));
}

Runner::Runner(const std::string& ip, RunnerOptions options, Record& record,
               std::optional<Weights> weights)
    : options_(std::move(options)),
      record_(record),
      weights_(std::move(weights)) {
  if (weights_) {
    version_ = 1;
    for (std::size_t piece = 0; piece < weights_->count_; ++piece) {
      staged_[piece] = weights_->Piece(1, piece);
    }
  }
  server_ = std::make_unique<Server>(
      ip, 0, [this](const ChannelPtr& channel, const Message& request) {
        return Handle(channel, request);
      });
}

Json Runner::Models() const {
  auto models = Json::array();
  if (version_ > 0) {
    models.push_back({{"name", weights_->model_},
                      {"version", version_},
                      {"adapters", Json::array()},
                      {"layers",
                       {{{"fromRev", 0},
                         {"targetVersion", kLayers},
                         {"version", version_}}}}});
  }
  return models;
}

Json Runner::Row() {
  const std::lock_guard lock(mutex_);
  return {{"service", options_.service_},
          {"addr", address().ToString()},
          {"zone", options_.zone_},
          {"version", "v1"},
          {"slots", options_.slots_},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"stage", "both"},
          {"models", Models()},
          {"seq", 4}};
}

bool Runner::Handle(const ChannelPtr& channel, const Message& request) {
  const auto target = request.Target();
  for (;;) {
    std::unique_lock lock(mutex_);
    const auto silent_until = silent_until_;
    lock.unlock();
    if (Clock::now() >= silent_until) {
      break;
    }
    std::this_thread::sleep_until(silent_until);
  }
  if (target == "/report") {
    std::unique_lock lock(mutex_);
    const Json report{
        {"stage", "both"}, {"models", Models()}, {"busySlots", ordered_},
        {"seq", orders_},  {"queued", 0},        {"active", active_},
        {"kvUsed", 0},     {"kvTotal", 317000},  {"handles", 0}};
    lock.unlock();
    return channel->Send(ResponseText(
        200, {{"Content-Type", "application/json"}}, report.dump()));
  }
  if (target == "/healthz") {
    return channel->Send(
        ResponseText(200, {{"Instance-Id", options_.id_}}, ""));
  }
  if (target == "/order") {
    return HandleOrder(channel, request);
  }
  if (target.starts_with("/stage-")) {
    return HandleStaging(channel, request);
  }
  return HandleRequest(channel, request);
}

bool Runner::HandleStaging(const ChannelPtr& channel, const Message& request) {
  const auto piece = NumberOr(request.Parameter("sampleSize"), 0);
  if (request.Method() == "PUT") {
    std::unique_lock lock(mutex_);
    staged_[piece] = request.body_;
    bad_since_.erase(piece);
    lock.unlock();
    return channel->Send(ResponseText(200, {}, ""));
  }
  std::this_thread::sleep_for(options_.staging_read_);
  std::unique_lock lock(mutex_);
  const auto found = staged_.find(piece);
  const auto text = found == staged_.end()
                        ? ResponseText(404, {}, "")
                        : ResponseText(200, {}, found->second);
  lock.unlock();
  if (on_staging_read_) {
    on_staging_read_(piece);
  }
  return channel->Send(text);
}

bool Runner::HandleOrder(const ChannelPtr& channel, const Message& request) {
  const auto order = Json::parse(request.body_);
  const auto version = order.at("version").get<std::uint64_t>();
  const auto now = Clock::now();
  std::unique_lock lock(mutex_);
  ++orders_;
  ordered_ = true;
  taken_bad_for_.clear();
  for (std::size_t piece = 0; piece < weights_->count_; ++piece) {
    if (staged_[piece] == weights_->Piece(version, piece)) {
      continue;
    }
    const auto bad = bad_since_.find(piece);
    taken_bad_for_[piece] =
        bad == bad_since_.end()
            ? Milliseconds::max()
            : std::chrono::duration_cast<Milliseconds>(now - bad->second);
  }
  const auto bad_count = taken_bad_for_.size();
  lock.unlock();
  record_.Line("runner " + options_.id_ + ": takes version " +
               std::to_string(version) + " by order, " +
               std::to_string(bad_count) + " of its pieces are bad");
  const bool sent = channel->Send(ResponseText(202, {}, ""));
  lock.lock();
  while (active_ > 0) {
    lock.unlock();
    std::this_thread::sleep_for(kRunningCheck);
    lock.lock();
  }
  lock.unlock();
  std::this_thread::sleep_for(kWarmUp);
  lock.lock();
  ordered_ = false;
  version_ = version;
  runs_since_order_ = 0;
  return sent;
}

bool Runner::HandleRequest(const ChannelPtr& channel, const Message& request) {
  const auto expected = request.Header("expect-instance");
  const auto version = request.Header("expect-version");
  const auto own_version = std::to_string(this->version());
  if ((!expected.empty() && expected != options_.id_) ||
      (!version.empty() && version != own_version)) {
    return channel->Send(
        ResponseText(421, {{"Instance-Id", options_.id_}}, ""));
  }
  {
    const std::lock_guard lock(mutex_);
    if (ordered_) {
      return channel->Send(ResponseText(503, {{"Not-Executed", "1"}}, ""));
    }
    ++active_;
  }
  const bool keep =
      on_request_ ? on_request_(channel, request) : Run(channel, request);
  const std::lock_guard lock(mutex_);
  --active_;
  return keep;
}

void Runner::NoteRun(const std::string& id) {
  std::unique_lock lock(mutex_);
  const auto version = version_;
  runs_.insert(id);
  ++runs_since_order_;
  lock.unlock();
  record_.Line("runner " + options_.id_ + ": runs " + id +
               (weights_ ? " on version " + std::to_string(version) : ""));
  if (on_run_) {
    on_run_(id, version);
  }
}

bool Runner::Run(const ChannelPtr& channel, const Message& request) {
  const auto id = request.Header("attempt-id");
  NoteRun(id);
  if (weights_) {
    return Stream(channel, request);
  }
  std::this_thread::sleep_for(options_.work_);
  return channel->Send(ResponseText(
      200, {{"Attempt-Id", id}, {"Response-Seal", "s." + options_.id_}},
      "answer to " + id));
}

bool Runner::Stream(const ChannelPtr& channel, const Message& request) {
  const auto last = NumberOr(request.Header("last-event-id"), 0);
  std::string head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.Header("attempt-id") +
      "\r\nResponse-Seal: s." + options_.id_ +
      "\r\nWeight-Versions: " + std::to_string(version()) +
      "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
      "chunked\r\n\r\n";
  if (!channel->Send(head)) {
    return false;
  }
  for (auto event = last + 1; event <= kEvents; ++event) {
    std::this_thread::sleep_for(kEventGap);
    const auto text = "id: " + std::to_string(event) + "\ndata: token\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", text.size());
    if (!channel->Send(std::string(size.data()) + "\r\n" + text + "\r\n")) {
      return false;
    }
  }
  return channel->Send("0\r\n\r\n");
}

bool Runner::Staged(std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  for (std::size_t piece = 0; piece < weights_->count_; ++piece) {
    const auto found = staged_.find(piece);
    if (found == staged_.end() ||
        found->second != weights_->Piece(version, piece)) {
      return false;
    }
  }
  return true;
}

void Runner::FallSilent(Milliseconds time) {
  record_.Line("runner " + options_.id_ + ": falls silent for " +
               std::to_string(time.count()) + " ms");
  const std::lock_guard lock(mutex_);
  silent_until_ = Clock::now() + time;
}

int Runner::runs_since_order() {
  const std::lock_guard lock(mutex_);
  return runs_since_order_;
}

void Runner::Rot(std::size_t piece) {
  const std::lock_guard lock(mutex_);
  staged_[piece][0] = '#';
  bad_since_[piece] = Clock::now();
  record_.Line("runner " + options_.id_ + ": staged piece " +
               std::to_string(piece) + " turns bad");
}

std::set<std::size_t> Runner::TakenBad(Milliseconds excused) {
  const std::lock_guard lock(mutex_);
  std::set<std::size_t> pieces;
  for (const auto& [piece, time] : taken_bad_for_) {
    if (time > excused) {
      pieces.insert(piece);
    }
  }
  return pieces;
}

std::uint64_t Runner::version() {
  const std::lock_guard lock(mutex_);
  return version_;
}

std::multiset<std::string> Runner::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

Process::Process(std::vector<std::string> command, std::string log)
    : command_(std::move(command)), log_(std::move(log)) {}

Process::~Process() { Kill(); }

void Process::Start() {
  const int log =
      ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  std::vector<char*> arguments;
  for (auto& word : command_) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  pid_ = ::fork();
  if (pid_ == 0) {
    // Ends with the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
  ::close(log);
}

void Process::Signal(int number) const {
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

void Process::Kill() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

bool Process::Running() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ > 0;
}

std::size_t Process::MemoryMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) >> 20;
}

void Node::WriteSettings(bool bootstrap) const {
  std::ofstream(settings_) << Fill(template_, values_, bootstrap);
}

bool Node::Ready() const {
  const auto channel = Channel::Connect(ready_);
  if (channel == nullptr ||
      !channel->Send("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n")) {
    return false;
  }
  const auto answer = channel->Read(MessageKind::kResponse, Milliseconds(1000));
  return answer && answer->Status() == 200;
}

Deployment::Deployment(const std::vector<std::string>& arguments)
    : repository_(arguments.at(1)),
      trouble_(EnvironmentValue("TROUBLE") != "0"),
      record_(arguments.at(0) + "/record.txt") {
  if (sodium_init() < 0) {
    throw std::runtime_error("libsodium cannot be used");
  }
  auto folder =
      (std::filesystem::temp_directory_path() / "chalkwell-review-XXXXXX")
          .string();
  if (::mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  folder_ = folder;
  const auto number = static_cast<unsigned>(::getpid());
  network_ = "127." + std::to_string(20 + number % 200) + "." +
             std::to_string(number / 200 % 250) + ".";
  peer_port_ = FreePort(Ip(1));
  store_ = std::make_unique<Store>(Ip(1));
  record_.Line(std::string("run ") + (trouble_ ? "with" : "without") +
               " the disruption");
}

Deployment::~Deployment() {
  nodes_.clear();
  if (EnvironmentValue("KEEP").empty()) {
    std::filesystem::remove_all(folder_);
  }
}

std::string Deployment::Ip(int machine) const {
  return network_ + std::to_string(machine);
}

void Deployment::SetSeeds(const std::vector<int>& machines) {
  seeds_.clear();
  for (const auto machine : machines) {
    seeds_ += (seeds_.empty() ? "" : ",") +
              Address{Ip(machine), peer_port_}.ToString();
  }
}

Node& Deployment::Start(int machine, const std::string& role,
                        std::map<std::string, std::string> values) {
  auto node = std::make_unique<Node>();
  node->ip_ = Ip(machine);
  node->name_ = role + "-" + std::to_string(machine);
  node->front_ = {node->ip_, FreePort(node->ip_)};
  node->ready_ = {node->ip_, FreePort(node->ip_)};
  values.insert({{"node", node->name_},
                 {"ip", node->ip_},
                 {"zones",
                  "region = pl-hall-a:port-louis\n"
                  "region = gb-hall-a:grand-baie\n"
                  "region = mb-hall-a:mahebourg\n"},
                 {"listen.front", node->front_.ToString()},
                 {"listen.ready", node->ready_.ToString()},
                 {"internalPorts.0", std::to_string(peer_port_)},
                 {"platform.addr", store_->address()},
                 {"seeds", seeds_},
                 {"heartbeatMs", "1200"},
                 {"bounds.drainMs", "2000"},
                 {"bounds.retryBudgetRatio", "0.2"},
                 {"bounds.retryBudgetExtra", "102"},
                 {"bounds.version_ms", "8000"}});
  node->template_ = ReadFile(repository_ + "/platform/" + role + ".ini.tmpl");
  node->settings_ = folder_ + "/" + node->name_ + ".ini";
  node->values_ = std::move(values);
  node->WriteSettings(true);
  node->process_ = std::make_unique<Process>(
      std::vector<std::string>{repository_ + "/target/chalkwelld", role,
                               "--adapter", "platform", "--config",
                               node->settings_},
      folder_ + "/" + node->name_ + ".log");
  node->process_->Start();
  record_.Line("start " + node->name_);
  nodes_.push_back(std::move(node));
  return *nodes_.back();
}

Node& Deployment::StartEntry(int machine, const std::string& zone) {
  return Start(
      machine, "entry",
      {{"zone", zone}, {"limits.memoryMb", "260"}, {"limits.maxFds", "4100"}});
}

Node& Deployment::StartAgent(int machine, const Runner& runner,
                             const std::string& service,
                             const std::string& zone) {
  return Start(machine, "agent",
               {{"zone", zone},
                {"app", runner.address().ToString()},
                {"service", service},
                {"limits.linkMbps", "7.3"}});
}

void Deployment::KillOne(const std::string& name) {
  for (const auto& node : nodes_) {
    if (node->name_ == name) {
      record_.Line(name + " is killed");
      node->process_->Kill();
    }
  }
}

void Deployment::KillAll() {
  record_.Line("all processes are killed");
  for (const auto& node : nodes_) {
    node->process_->Kill();
  }
}

void Deployment::StartAllAgain() {
  record_.Line("all processes start again");
  for (const auto& node : nodes_) {
    node->WriteSettings(false);
    node->process_->Start();
  }
}

bool Deployment::WaitUntilReady() const {
  const auto until = Clock::now() + kReadyLimit;
  for (const auto& node : nodes_) {
    while (node->name_.starts_with("entry") && !node->Ready()) {
      if (Clock::now() > until) {
        return false;
      }
      std::this_thread::sleep_for(Milliseconds(50));
    }
  }
  return true;
}

std::vector<std::unique_ptr<Runner>> StartRunners(
    Deployment& deployment, int count, RunnerOptions options,
    const std::optional<Weights>& weights) {
  std::vector<std::unique_ptr<Runner>> runners;
  for (int number = 0; number < count; ++number) {
    options.id_ = "i-7f3a91c" + std::to_string(number);
    runners.push_back(
        std::make_unique<Runner>(deployment.Ip(kFirstRunner + number), options,
                                 deployment.record(), weights));
    deployment.store().Put("servers/" + options.id_, runners.back()->Row());
  }
  return runners;
}

int RunCase(
    int argc, char** argv,
    const std::function<int(const std::vector<std::string>& arguments)>& run) {
  try {
    return run({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kCouldNotRun;
  }
}

Json Configuration(std::uint64_t version, const std::vector<Route>& routes,
                   const std::optional<Weights>& weights,
                   const std::string& origin) {
  auto published = Json::array();
  for (const auto& route : routes) {
    published.push_back({{"name", "r" + route.prefix_},
                         {"host", kHost},
                         {"pathPrefix", route.prefix_},
                         {"kind", route.kind_},
                         {"timeoutMs", route.timeout_ms_},
                         {"targetLatencyMs", 400},
                         {"priority", 1},
                         {"service", route.service_},
                         {"maxAttempts", route.max_attempts_},
                         {"public", false},
                         {"sticky", route.kind_ == "streaming"},
                         {"resumable", route.resumable_},
                         {"targetGapMs", 400}});
  }
  auto services = Json::array();
  services.push_back({{"name", "plain"},
                      {"healthPath", "/healthz"},
                      {"maxConns", 100},
                      {"protocol", "h1"},
                      {"tls", false}});
  if (weights) {
    services.push_back({{"name", "pool"},
                        {"healthPath", "/healthz"},
                        {"maxConns", 424},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"engine",
                         {{"slots", 16},
                          {"kvCapacity", 317000},
                          {"stride", 5},
                          {"models",
                           {{{"name", weights->model_},
                             {"pace", 1.0},
                             {"loadS", 4.0},
                             {"warmupS", 0.3}}}},
                          {"megabytes", 149000.0},
                          {"step_ms", 9.27},
                          {"per_seq_ms", 0.0232},
                          {"context_per_k", 0.0322},
                          {"read_per_s", 20700.0},
                          {"pairs_per_m", 1.18},
                          {"usual", {{"prompt", 979}, {"answer", 92}}},
                          {"layers", kLayers},
                          {"layer_mb", 4090.0},
                          {"chunks", weights->count_},
                          {"chunkBytes", weights->bytes_}}}});
    services.push_back({{"name", "source"},
                        {"origin", origin},
                        {"zone", "pl-hall-a"},
                        {"linkMbps", 7.3},
                        {"maxConns", 48}});
  }
  return {{"version", version},
          {"routes", published},
          {"services", services},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants",
           {{{"name", "bozi300"}, {"apiKeys", {kKey}}, {"priority", 1}}}}};
}

std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& id, int deadline_ms,
                        const std::string& body,
                        const std::map<std::string, std::string>& extra) {
  auto text = method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
              "\r\nAttempt-Id: " + id +
              "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
              "\r\nAuthorization: Bearer " + kKey + "\r\n";
  for (const auto& [name, value] : extra) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

std::string RequestId(std::uint64_t number) {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "9c41d07b%08llx",
                static_cast<unsigned long long>(number));
  return text.data();
}

}  // namespace review
