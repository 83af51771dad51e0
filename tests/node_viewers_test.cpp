// The viewers' side of the front node, and its end: every path that ends something, with what is still owed
// then.
#include <gtest/gtest.h>

#include "node_day.hpp"

namespace valekeel {
namespace {

using namespace nodeday;

// A fresh process is handed what plays as soon as it has passed its first test.
TEST(NodeViewers, HandedOverRightBehindTheFirstTest) {
    VirtualDay day;
    Json m = VirtualDay::start(1);
    m["opts"]["extras"] = "home:0;copies:3;top:2;at:s-00000001";
    const Json test = {{"verb", "ECHO"}, {"tag", idOf(99)}, {"opts", Json::object()}, {"rc", 0}};
    day.viewers->bytes(test.dump() + "\n" + m.dump() + "\n");
    day.run(100'000);
    EXPECT_EQ(day.said(99), "1");
    day.servers[1]->standing.insert(idOf(1));
    day.servers[1]->end(idOf(1), 16);
    day.run(500'000);
    EXPECT_EQ(day.said(1), "16");
}

}  // namespace
}  // namespace valekeel
