#include "proxy/coordination/ConfirmationMessage.h"
#include "proxy/position/PositionMessage.h"
#include "proxy/rate/TokenMessage.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <string>
#include <vector>

namespace mustardshift::proxy {

using mustardshift::test::Section;

/** Guards against datagrams that are taken for another kind, or that harm the VM that reads them.
 */
class ReportMessageTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReportMessageTest);
  CPPUNIT_TEST(MessagesAreReadBack);
  CPPUNIT_TEST(DamagedMessagesAreRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void MessagesAreReadBack()
  {
    const PositionMessage request = PositionRequest{ VmId("vm-1"), 7, 8, DatabaseName("fittings") };
    const PositionMessage answer =
      PositionAnswer{ 7, 8, { 3, 1207 }, std::chrono::milliseconds(250) };
    CPPUNIT_ASSERT(DecodePositionMessage(EncodePositionMessage(request)) == request);
    CPPUNIT_ASSERT(DecodePositionMessage(EncodePositionMessage(answer)) == answer);
    const ConfirmationMessage question = ConfirmationRequest{ VmId("vm-1"), 7, 8 };
    const ConfirmationMessage reply =
      ConfirmationAnswer{ 7, 8, 0xfedcba9876543210, std::chrono::milliseconds(800) };
    CPPUNIT_ASSERT(DecodeConfirmationMessage(EncodeConfirmationMessage(question)) == question);
    CPPUNIT_ASSERT(DecodeConfirmationMessage(EncodeConfirmationMessage(reply)) == reply);
    Section("each kind is read by its own reader only", [&] {
      for (const PositionMessage& message : { request, answer }) {
        CPPUNIT_ASSERT(!DecodeConfirmationMessage(EncodePositionMessage(message)));
        CPPUNIT_ASSERT(!DecodeTokenMessage(EncodePositionMessage(message)));
      }
      for (const ConfirmationMessage& message : { question, reply }) {
        CPPUNIT_ASSERT(!DecodePositionMessage(EncodeConfirmationMessage(message)));
        CPPUNIT_ASSERT(!DecodeTokenMessage(EncodeConfirmationMessage(message)));
      }
    });
    Section("an age below zero would make data look younger than it is", [] {
      const PositionAnswer young{ 7, 8, { 3, 1207 }, std::chrono::milliseconds(-250) };
      CPPUNIT_ASSERT(!DecodePositionMessage(EncodePositionMessage(young)));
      const ConfirmationAnswer fresh{ 7, 8, 1, std::chrono::milliseconds(-250) };
      CPPUNIT_ASSERT(!DecodeConfirmationMessage(EncodeConfirmationMessage(fresh)));
    });
  }

  void DamagedMessagesAreRejected()
  {
    std::mt19937 random(20261204);
    const std::vector<std::string> messages{
      EncodePositionMessage(PositionAnswer{ 7, 8, { 3, 1207 }, std::chrono::milliseconds(250) }),
      EncodeConfirmationMessage(ConfirmationRequest{ VmId("vm-1"), 7, 8 }),
    };
    for (const std::string& message : messages) {
      for (std::size_t length = 0; length < message.size(); ++length) {
        CPPUNIT_ASSERT(!DecodePositionMessage(message.substr(0, length)));
        CPPUNIT_ASSERT(!DecodeConfirmationMessage(message.substr(0, length)));
      }
      for (int round = 0; round < 2000; ++round) {
        std::string damaged = message;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        DecodePositionMessage(damaged);
        DecodeConfirmationMessage(damaged);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportMessageTest);

} // namespace mustardshift::proxy
