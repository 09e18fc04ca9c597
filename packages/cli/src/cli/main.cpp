// chalkwell: the command line for operators. It prepares documents and reads
// the state of running processes; apart from lifting a quarantine it changes
// none.
#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>

#include "chalkwell/core/error.hpp"
#include "cli/bundle_commands.hpp"
#include "cli/inspect_commands.hpp"
#include "daemon/version.hpp"

namespace {

using chalkwell::cli::CreateOptions;
using Action = std::function<int()>;

constexpr int kExitInvalidInput = 2;
constexpr std::uint64_t kDefaultChunkBytes = 4 << 20;

void AddKeygen(CLI::App& app, Action& action) {
  auto* command = app.add_subcommand("keygen", "generate an Ed25519 key pair");
  auto path = std::make_shared<std::string>();
  command
      ->add_option("path", *path,
                   "file for the secret key; the public key is written to "
                   "PATH.pub")
      ->required();
  command->callback([&action, path] {
    action = [path] {
      chalkwell::cli::GenerateKey(*path);
      return 0;
    };
  });
}

void AddTrust(CLI::App& app, Action& action) {
  struct Options {
    std::uint64_t version_ = 0;
    std::vector<std::string> keys_;
    std::string out_;
  };
  auto options = std::make_shared<Options>();
  auto* command =
      app.add_subcommand("trust", "write an unsigned list of trusted keys");
  command
      ->add_option("--version", options->version_,
                   "version of the list; must increase with each list")
      ->required();
  command
      ->add_option("--key", options->keys_,
                   "public key or a file that contains it; may be repeated")
      ->required();
  command->add_option("--out", options->out_, "file to write")->required();
  command->callback([&action, options] {
    action = [options] {
      chalkwell::cli::CreateTrustList(options->version_, options->keys_,
                                      options->out_);
      return 0;
    };
  });
}

void AddBundleCreate(CLI::App& group, Action& action) {
  auto options = std::make_shared<CreateOptions>();
  options->chunk_bytes_ = kDefaultChunkBytes;
  auto* command = group.add_subcommand(
      "create", "split files into chunks and write an unsigned bundle");
  command
      ->add_option("--version", options->version_,
                   "version of the bundle; higher than that of the active one")
      ->required()
      ->check(CLI::PositiveNumber);
  command->add_option("--model", options->model_, "name of the model")
      ->required();
  command
      ->add_option("--model-file", options->model_files_,
                   "file of the model; may be repeated")
      ->required();
  command->add_option("--adapter", options->adapters_,
                      "adapter as name=file; may be repeated");
  command
      ->add_option("--role", options->roles_,
                   "role of endpoints that run the bundle; may be repeated")
      ->required();
  command
      ->add_option("--chunk-bytes", options->chunk_bytes_,
                   "size of a chunk in bytes")
      ->check(CLI::Range(std::uint64_t{1024}, std::uint64_t{64} << 20))
      ->capture_default_str();
  command
      ->add_option("--out", options->out_, "folder for blobs/ and bundle.json")
      ->required();
  command->callback([&action, options] {
    action = [options] {
      chalkwell::cli::CreateBundle(*options);
      return 0;
    };
  });
}

void AddBundleSign(CLI::App& group, Action& action) {
  struct Options {
    std::string key_;
    std::string in_;
    std::string out_;
  };
  auto options = std::make_shared<Options>();
  auto* command =
      group.add_subcommand("sign", "sign a bundle or a list of trusted keys");
  command->add_option("--key", options->key_, "file of the secret key")
      ->required();
  command->add_option("--in", options->in_, "unsigned document")->required();
  command->add_option("--out", options->out_, "signed document to write")
      ->required();
  command->callback([&action, options] {
    action = [options] {
      chalkwell::cli::SignFile(options->key_, options->in_, options->out_);
      return 0;
    };
  });
}

void AddBundleVerify(CLI::App& group, Action& action) {
  struct Options {
    std::string bundle_;
    std::vector<std::string> keys_;
    std::string folder_;
  };
  auto options = std::make_shared<Options>();
  auto* command = group.add_subcommand(
      "verify", "verify the signature, the manifest and every chunk");
  command->add_option("bundle", options->bundle_, "signed bundle")->required();
  command
      ->add_option("--trusted", options->keys_,
                   "public key or a file that contains it; may be repeated")
      ->required();
  command
      ->add_option("--folder", options->folder_, "folder that contains blobs/")
      ->required();
  command->callback([&action, options] {
    action = [options] {
      const int errors = chalkwell::cli::VerifyBundle(
          options->bundle_, options->keys_, options->folder_);
      return errors == 0 ? 0 : kExitInvalidInput;
    };
  });
}

void AddBundleShow(CLI::App& group, Action& action) {
  auto path = std::make_shared<std::string>();
  auto* command = group.add_subcommand("show", "print a bundle");
  command->add_option("bundle", *path, "bundle, signed or not")->required();
  command->callback([&action, path] {
    action = [path] {
      chalkwell::cli::ShowBundle(*path);
      return 0;
    };
  });
}

void AddCheck(CLI::App& app, Action& action) {
  struct Options {
    std::string entry_;
    std::string agent_;
    bool adapter_ = false;
    std::string key_;
    std::string document_;
    std::string trusted_;
  };
  auto options = std::make_shared<Options>();
  auto* command = app.add_subcommand(
      "check", "check settings or a document before it is published");
  command->add_option("--entry", options->entry_, "settings of an entry");
  command->add_option("--agent", options->agent_, "settings of an agent");
  command->add_flag("--adapter", options->adapter_,
                    "the settings are those of a deployment with an adapter");
  command->add_option("--document", options->document_, "document to publish");
  command->add_option(
      "--key", options->key_,
      "key of the document: bundle, trust, instances, accounts or "
      "routes");
  command->add_option("--trusted", options->trusted_,
                      "public key that verifies signed documents");
  command->callback([&action, options] {
    action = [options] {
      using chalkwell::daemon::UsedBy;
      if (!options->entry_.empty()) {
        chalkwell::cli::CheckSettings(
            options->entry_,
            options->adapter_ ? UsedBy::kDirectEntry : UsedBy::kEntry);
      }
      if (!options->agent_.empty()) {
        chalkwell::cli::CheckSettings(
            options->agent_,
            options->adapter_ ? UsedBy::kDirectAgent : UsedBy::kAgent);
      }
      if (!options->document_.empty()) {
        chalkwell::cli::CheckDocument(options->key_, options->document_,
                                      options->trusted_);
      }
      return 0;
    };
  });
}

void AddStatus(CLI::App& app, Action& action) {
  struct Options {
    std::string address_;
    bool json_ = false;
  };
  auto options = std::make_shared<Options>();
  auto* command = app.add_subcommand(
      "status", "show the endpoints that are known to an entry");
  command
      ->add_option("entry", options->address_,
                   "address of an entry's admin server, ip:port")
      ->required();
  command->add_flag("--json", options->json_, "print JSON");
  command->callback([&action, options] {
    action = [options] {
      return chalkwell::cli::ShowStatus(options->address_, options->json_);
    };
  });
}

void AddQuarantine(CLI::App& app, Action& action) {
  struct Options {
    std::string address_;
    std::string content_;
  };
  auto options = std::make_shared<Options>();
  auto* command = app.add_subcommand(
      "quarantine",
      "list requests suspected of crashing endpoints, or lift a quarantine");
  command
      ->add_option("entry", options->address_,
                   "address of an entry's admin server, ip:port")
      ->required();
  command->add_option("--lift", options->content_,
                      "content digest of the request whose quarantine to lift");
  command->callback([&action, options] {
    action = [options] {
      return options->content_.empty()
                 ? chalkwell::cli::ShowQuarantine(options->address_)
                 : chalkwell::cli::LiftQuarantine(options->address_,
                                                  options->content_);
    };
  });
}

void AddExplain(CLI::App& app, Action& action) {
  struct Options {
    int number_ = 0;
    bool settings_ = false;
    bool events_ = false;
  };
  auto options = std::make_shared<Options>();
  auto* command = app.add_subcommand(
      "explain", "explain an event number, or all events without one");
  command->add_option("number", options->number_, "event number, such as 602");
  command->add_flag("--settings", options->settings_,
                    "print the settings reference as Markdown");
  command->add_flag("--events", options->events_,
                    "print the event catalogue as Markdown");
  command->callback([&action, options] {
    action = [options] {
      if (options->settings_) {
        chalkwell::cli::PrintSettingsPage();
        return 0;
      }
      if (options->events_) {
        chalkwell::cli::PrintEventsPage();
        return 0;
      }
      return chalkwell::cli::Explain(options->number_);
    };
  });
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "chalkwell: create, sign and check what operators publish, and inspect "
      "what runs.\nRollout: bundle create, bundle sign, bundle verify, then "
      "publish the signed file under the key 'bundle'."};
  app.footer(
      "Exit codes: 0 success, 1 failure, 2 invalid input or settings, 3 not "
      "ready.");
  app.set_version_flag("--version", std::string(chalkwell::daemon::kVersion));
  app.require_subcommand(1);
  Action action;
  AddKeygen(app, action);
  AddTrust(app, action);
  auto* bundle =
      app.add_subcommand("bundle", "create, sign and verify bundles");
  bundle->require_subcommand(1);
  AddBundleCreate(*bundle, action);
  AddBundleSign(*bundle, action);
  AddBundleVerify(*bundle, action);
  AddBundleShow(*bundle, action);
  AddCheck(app, action);
  AddStatus(app, action);
  AddQuarantine(app, action);
  AddExplain(app, action);
  CLI11_PARSE(app, argc, argv);
  try {
    return action();
  } catch (const chalkwell::core::Error& error) {
    std::cerr << "chalkwell: " << error.what() << "\n";
    const bool invalid_input = error.step() == chalkwell::core::Step::kParse ||
                               error.step() == chalkwell::core::Step::kVerify ||
                               error.step() == chalkwell::core::Step::kSettings;
    return invalid_input ? kExitInvalidInput : 1;
  } catch (const std::exception& error) {
    std::cerr << "chalkwell: " << error.what() << "\n";
    return 1;
  }
}
