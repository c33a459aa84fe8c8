#include "dotterel/store/HttpStore.h"

#include "dotterel/base/Errors.h"

#include <nlohmann/json.hpp>
#include <sodium.h>
#include <utility>

namespace dotterel {

namespace {

using Json = nlohmann::json;

constexpr auto StatusOk = 200U;
/// Names the store's history; absent if the store is never restored.
constexpr auto EraHeader = "x-store-era";

/// Reads a 64-bit number, which the interface carries as a string; 0 if it is
/// absent.
auto parseNumber(const Json &Source, const char *Name) -> std::uint64_t {
  auto Found = Source.find(Name);
  if (Found == Source.end())
    return 0;
  return Found->is_string() ? std::stoull(Found->get<std::string>())
                            : Found->get<std::uint64_t>();
}

auto parseRevision(const Json &Response, StoreEra Era) -> StoreRevision {
  return StoreRevision{parseNumber(Response.at("header"), "revision"), Era};
}

auto parseRange(const Json &Response, StoreEra Era) -> RangeResult {
  auto Result = RangeResult{.m_Revision = parseRevision(Response, Era)};
  for (const auto &Item : Response.value("kvs", Json::array()))
    Result.m_Values.push_back(
        {.m_Key = decodeBase64(Item.at("key").get<std::string>()),
         .m_Value = decodeBase64(Item.value("value", "")),
         .m_Modified = StoreRevision{parseNumber(Item, "mod_revision"), Era}});
  return Result;
}

auto toJson(const StoreCompare &Compare, StoreEra Era) -> Json {
  return {{"key", encodeBase64(Compare.m_Key)},
          {"target", "MOD"},
          {"result", "EQUAL"},
          {"mod_revision", std::to_string(comparedNumber(Compare, Era))}};
}

auto toJson(const StoreWrite &Write) -> Json {
  auto Key = encodeBase64(Write.m_Key);
  if (!Write.m_Value)
    return {{"request_delete_range", {{"key", Key}}}};
  auto Put = Json{{"key", Key}, {"value", encodeBase64(*Write.m_Value)}};
  if (Write.m_Lease != LeaseId{})
    Put["lease"] = std::to_string(Write.m_Lease.number());
  return {{"request_put", std::move(Put)}};
}

class HttpStore final : public KeyValueStore {
public:
  HttpStore(HttpClient &Client, HttpStoreOptions Options)
      : m_Client(Client), m_Options(std::move(Options)) {}

  auto read(KeyRange Range, StoreCallback<RangeResult> Callback)
      -> void override {
    auto Body = Json{{"key", encodeBase64(Range.m_First)}};
    if (!Range.m_End.empty())
      Body["range_end"] = encodeBase64(Range.m_End);
    post<RangeResult>("/v3/kv/range", Body, std::move(Callback),
                      [this](const Json &Response) {
                        return parseRange(Response, history().era());
                      });
  }

  auto commit(StoreTransaction Transaction,
              StoreCallback<TransactionResult> Callback) -> void override {
    auto Body = Json{{"compare", Json::array()}, {"success", Json::array()}};
    for (const auto &Compare : Transaction.m_Compares)
      Body["compare"].push_back(toJson(Compare, history().era()));
    for (const auto &Write : Transaction.m_Writes)
      Body["success"].push_back(toJson(Write));
    post<TransactionResult>(
        "/v3/kv/txn", Body, std::move(Callback),
        [this, Transaction = std::move(Transaction)](
            const Json &Response) -> TransactionResult {
          auto Era = history().era();
          auto Applied = Response.value("succeeded", false);
          // The store was restored while the call was on
          // its way, and a compare held by chance.
          if (Applied && !comparesOnly(Era, Transaction))
            throw ProtocolError(301, "the store has been restored");
          return {.m_Applied = Applied,
                  .m_Revision = parseRevision(Response, Era)};
        });
  }

  auto grantLease(Seconds Term, StoreCallback<LeaseId> Callback)
      -> void override {
    post<LeaseId>("/v3/lease/grant", {{"TTL", std::to_string(Term.count())}},
                  std::move(Callback), [](const Json &Response) {
                    auto Id = parseNumber(Response, "ID");
                    // No lease has the id 0.
                    if (Id == 0)
                      throw ProtocolError(301, "a granted lease has no id");
                    return LeaseId{Id};
                  });
  }

  auto renewLease(LeaseId Lease, StoreCallback<Seconds> Callback)
      -> void override {
    post<Seconds>("/v3/lease/keepalive",
                  {{"ID", std::to_string(Lease.number())}}, std::move(Callback),
                  [](const Json &Response) {
                    return Seconds(parseNumber(Response.at("result"), "TTL"));
                  });
  }

  auto revokeLease(LeaseId Lease, StoreCallback<bool> Callback)
      -> void override {
    post<bool>("/v3/lease/revoke", {{"ID", std::to_string(Lease.number())}},
               std::move(Callback), [](const Json &) { return true; });
  }

private:
  template <typename Response, typename Parse>
  auto post(const char *Path, const Json &Body,
            StoreCallback<Response> Callback, Parse Parser) -> void {
    auto Call = HttpCall();
    Call.m_Method = "POST";
    Call.m_Url = m_Options.m_BaseUrl + Path;
    Call.m_Headers = {
        {.m_Name = "Content-Type", .m_Value = "application/json"}};
    Call.m_Body = Body.dump();
    Call.m_Timeout = m_Options.m_CallTimeout;
    Call.m_OnDone = [this, Callback = std::move(Callback),
                     Parser](const HttpCallResult &Result) {
      // The effect of a call of an earlier history may have been lost with it.
      if (!history().observe(
              parseStoreEra(findHeader(Result.m_Headers, EraHeader)))) {
        Callback({.m_Failure = StoreFailure::Unknown});
        return;
      }
      Callback(interpret<Response>(Result, Parser));
    };
    m_Client.start(std::move(Call));
  }

  template <typename Response, typename Parse>
  static auto interpret(const HttpCallResult &Result, Parse Parser)
      -> StoreReply<Response> {
    if (Result.m_Outcome == HttpOutcome::NotSent)
      return {.m_Failure = StoreFailure::Refused};
    // The store responds with 429 or 503 to requests that it did not execute.
    constexpr auto TooManyRequests = 429U;
    constexpr auto Unavailable = 503U;
    if (Result.m_Outcome != HttpOutcome::Complete)
      return {.m_Failure = StoreFailure::Unknown};
    if (Result.m_Status == TooManyRequests || Result.m_Status == Unavailable)
      return {.m_Failure = StoreFailure::Refused};
    if (Result.m_Status != StatusOk)
      return {.m_Failure = StoreFailure::Unknown};
    try {
      return {.m_Response = Parser(Json::parse(Result.m_Body))};
    } catch (const std::exception &) {
      return {.m_Failure = StoreFailure::Unknown};
    }
  }

  HttpClient &m_Client;
  HttpStoreOptions m_Options;
};

} // namespace

auto makeHttpStore(HttpClient &Client, const HttpStoreOptions &Options)
    -> std::unique_ptr<KeyValueStore> {
  return std::make_unique<HttpStore>(Client, Options);
}

auto encodeBase64(std::string_view Text) -> std::string {
  constexpr auto Variant = sodium_base64_VARIANT_ORIGINAL;
  auto Size = sodium_base64_ENCODED_LEN(Text.size(), Variant);
  auto Result = std::string(Size, '\0');
  sodium_bin2base64(Result.data(), Size,
                    reinterpret_cast<const unsigned char *>(Text.data()),
                    Text.size(), Variant);
  Result.pop_back(); // the terminating null character
  return Result;
}

auto decodeBase64(std::string_view Text) -> std::string {
  auto Result = std::string(Text.size(), '\0');
  auto Size = std::size_t{0};
  if (sodium_base642bin(reinterpret_cast<unsigned char *>(Result.data()),
                        Result.size(), Text.data(), Text.size(), nullptr, &Size,
                        nullptr, sodium_base64_VARIANT_ORIGINAL) != 0)
    throw ProtocolError(301, "text is not valid base64");
  Result.resize(Size);
  return Result;
}

} // namespace dotterel
