// Every request that arrives is executed, also a repeated one.
#include "standins/service.hpp"

#include <iostream>
#include <nlohmann/json.hpp>

#include "standins/deterministic_responses.hpp"

namespace chalkwell::standins {

Service::Service(daemon::Loop& loop, const ServiceSettings& settings)
    : loop_(loop),
      settings_(settings),
      server_(loop, {.address_ = settings.address_},
              [this](const daemon::HttpExchangePtr& exchange) {
                OnRequest(exchange);
              }) {}

void Service::OnRequest(const daemon::HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  const daemon::HttpHeaders headers{{"content-type", "application/json"}};
  if (request.path_ == "/healthz") {
    exchange->Respond(200, {}, "ok");
    return;
  }
  if (request.path_ == "/control/record") {
    exchange->Respond(200, headers,
                      nlohmann::json{{"executed", executed_}}.dump());
    return;
  }
  const auto id =
      std::string(daemon::FindHeader(request.headers_, "x-request-id"));
  ++executed_[id];
  // Flushed at once, so that the log is complete after the service is killed.
  std::cout << kExecutedPrefix << id << std::endl;
  const nlohmann::json response{{"id", id},
                                {"receipt", Receipt(request.body_, id)}};
  loop_.After(settings_.time_, [exchange, headers, text = response.dump()] {
    exchange->Respond(200, headers, text);
  });
}

}  // namespace chalkwell::standins
