// Guards against lists of instances that are decoded otherwise than by a
// document.
#include "AnyJson.h"
#include "InstanceCodec.h"

namespace basilusher::platform {
namespace {

/// What `decode` returns, or the text of what it throws.
template <typename Decode>
std::string ResultOf(Decode decode) {
  try {
    const InstancePage page = decode();
    Json rows = Json::array();
    for (const Instance& it : page.instances) {
      rows.push_back({it.id, it.pool, NameOf(kInstanceStateNames, it.state),
                      it.data_centre, it.labels, it.rack, it.room.cpu_millis,
                      it.room.memory_mb, it.room.accelerators, it.worker});
    }
    return Json({rows, page.next}).dump();
  } catch (const std::exception& error) {
    return std::string("error: ") + error.what();
  }
}

std::string AnyInstance() {
  std::vector<std::pair<std::string, Json>> room = {
      {"Cpu", AnyBelow(64000)}, {"MemMb", AnyBelow(100000)}, {"Gpu", 1}};
  if (OneIn(15)) room[1].second = AnyValue();
  if (OneIn(15)) room.emplace_back("Cpu", AnyValue());
  if (OneIn(15)) room.emplace_back("Disk", AnyValue());
  Json labels = {"kind", "rack-" + std::to_string(AnyBelow(9))};
  if (OneIn(6)) labels.erase(0);
  if (OneIn(30)) labels.push_back(AnyValue());
  std::vector<std::pair<std::string, Json>> fields = {
      {"HostId", "host-" + std::to_string(AnyBelow(50))},
      {"Id", OneIn(3) ? "" : "worker-7"},
      {"Pool", "wear-sort"},
      {"Zone", "zone-b"},
      {"State", *rc::gen::element<std::string>("up", "moving", "upkeep", "down",
                                               "other")},
      {"Labels", labels}};
  if (OneIn(15)) {
    fields[static_cast<std::size_t>(AnyBelow(6))].second = AnyValue();
  }
  if (OneIn(8)) fields.emplace_back("Other", AnyValue());
  if (OneIn(30)) fields.emplace_back("HostId", AnyValue());
  if (OneIn(30)) fields.emplace_back("Room", AnyValue());
  if (OneIn(15)) fields.erase(fields.begin() + AnyBelow(5));
  std::string text = ObjectText(fields);
  if (OneIn(6)) return text;
  return "{\"Room\":" + ObjectText(room) + "," + text.substr(1);
}

RC_GTEST_PROP(InstanceCodec, APageIsDecodedAsByADocument, ()) {
  for (int i = 0; i < 20; ++i) {
    std::string rows;
    for (int n = AnyBelow(4); n > 0; --n) {
      rows += (rows.empty() ? "" : ",") +
              (OneIn(30) ? AnyValue().dump() : AnyInstance());
    }
    std::string text = "{\"Machines\":[" + rows + "]";
    if (OneIn(3)) text += ",\"NextToken\":\"t-5\"";
    if (OneIn(6)) text += ",\"Other\":" + AnyValue().dump();
    if (OneIn(15)) text += ",\"Machines\":" + AnyValue().dump();
    if (OneIn(15)) text += ",\"NextToken\":" + AnyValue().dump();
    const std::string body =
        OneIn(30) ? AnyValue().dump() : MaybeDamaged(text + "}");
    RC_LOG() << body;
    const std::string expected =
        ResultOf([&] { return DecodeInstanceDocument(Json::parse(body)); });
    RC_ASSERT(ResultOf([&] { return DecodeInstancePage(body); }) == expected);
  }
}

TEST(InstanceCodec, AUsualPageIsDecoded) {
  EXPECT_EQ(ResultOf([] {
              return DecodeInstancePage(
                  R"({"Machines":[{"HostId":"h","Id":"w","Pool":"p",)"
                  R"("Zone":"z","State":"upkeep","Labels":["k","r"],"X":{},)"
                  R"("Room":{"Cpu":1,"MemMb":2,"Gpu":3,"Y":[]}},{"Id":"v"}],)"
                  R"("NextToken":"t"})");
            }),
            R"([[["h","p","maintenance","z",["k","r"],"r",1,2,3,"w"]],"t"])");
}

}  // namespace
}  // namespace basilusher::platform
