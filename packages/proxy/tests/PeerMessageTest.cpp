#include "proxy/coordination/ConfigurationConfirmationMessage.h"
#include "proxy/position/PositionMessage.h"
#include "proxy/rate/TokenMessage.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <string>
#include <vector>

namespace mustardshift::proxy {

using mustardshift::test::Section;

/** Guards against datagrams that are decoded as the wrong kind of message, and against damaged
    datagrams that crash the VM that receives them. */
class PeerMessageTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerMessageTest);
  CPPUNIT_TEST(MessagesRoundTrip);
  CPPUNIT_TEST(DamagedMessagesAreRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void MessagesRoundTrip()
  {
    const PositionMessage request = PositionRequest{ VmId("vm-1"), 7, 8, DatabaseName("fittings") };
    const PositionMessage answer =
      PositionAnswer{ 7, 8, { 3, 1207 }, std::chrono::milliseconds(250) };
    CPPUNIT_ASSERT(DecodePositionMessage(EncodePositionMessage(request)) == request);
    CPPUNIT_ASSERT(DecodePositionMessage(EncodePositionMessage(answer)) == answer);
    const ConfigurationConfirmationMessage question =
      ConfigurationConfirmationRequest{ VmId("vm-1"), 7, 8 };
    const ConfigurationConfirmationMessage reply =
      ConfigurationConfirmationAnswer{ 7, 8, 0xfedcba9876543210, std::chrono::milliseconds(800) };
    CPPUNIT_ASSERT(DecodeConfigurationConfirmationMessage(
                     EncodeConfigurationConfirmationMessage(question)) == question);
    CPPUNIT_ASSERT(DecodeConfigurationConfirmationMessage(
                     EncodeConfigurationConfirmationMessage(reply)) == reply);
    Section("each kind of message is accepted by its own decoder only", [&] {
      for (const PositionMessage& message : { request, answer }) {
        CPPUNIT_ASSERT(!DecodeConfigurationConfirmationMessage(EncodePositionMessage(message)));
        CPPUNIT_ASSERT(!DecodeTokenMessage(EncodePositionMessage(message)));
      }
      for (const ConfigurationConfirmationMessage& message : { question, reply }) {
        CPPUNIT_ASSERT(!DecodePositionMessage(EncodeConfigurationConfirmationMessage(message)));
        CPPUNIT_ASSERT(!DecodeTokenMessage(EncodeConfigurationConfirmationMessage(message)));
      }
    });
    Section("a negative age is rejected: it would make data look newer than it is", [] {
      const PositionAnswer negativeAgeAnswer{ 7, 8, { 3, 1207 }, std::chrono::milliseconds(-250) };
      CPPUNIT_ASSERT(!DecodePositionMessage(EncodePositionMessage(negativeAgeAnswer)));
      const ConfigurationConfirmationAnswer negativeAgeConfirmation{
        7, 8, 1, std::chrono::milliseconds(-250)
      };
      CPPUNIT_ASSERT(!DecodeConfigurationConfirmationMessage(
        EncodeConfigurationConfirmationMessage(negativeAgeConfirmation)));
    });
  }

  void DamagedMessagesAreRejected()
  {
    std::mt19937 random(20261204);
    const std::vector<std::string> messages{
      EncodePositionMessage(PositionAnswer{ 7, 8, { 3, 1207 }, std::chrono::milliseconds(250) }),
      EncodeConfigurationConfirmationMessage(
        ConfigurationConfirmationRequest{ VmId("vm-1"), 7, 8 }),
    };
    for (const std::string& message : messages) {
      for (std::size_t length = 0; length < message.size(); ++length) {
        CPPUNIT_ASSERT(!DecodePositionMessage(message.substr(0, length)));
        CPPUNIT_ASSERT(!DecodeConfigurationConfirmationMessage(message.substr(0, length)));
      }
      for (int round = 0; round < 2000; ++round) {
        std::string damaged = message;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        DecodePositionMessage(damaged);
        DecodeConfigurationConfirmationMessage(damaged);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMessageTest);

} // namespace mustardshift::proxy
