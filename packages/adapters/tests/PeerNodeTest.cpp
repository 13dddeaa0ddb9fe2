#include "adapters/peer/PeerNode.h"
#include "protocol/peer/PeerMessageCodec.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

namespace mustardshift {

using test::Section;

namespace {

/** Waits for a condition; the limit only bounds a run that fails. */
bool Eventually(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < 4000; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

/** A node and what it received. */
class Vm
{
public:
  Vm(const std::string& aId, const std::string& aAddress)
    : id(aId)
  {
    PeerNodeOptions options;
    options.self = this->id;
    options.listenAddress = aAddress;
    options.queueCapacity = 8;
    options.reconnectMinimum = Duration{ 5'000 };
    options.reconnectMaximum = Duration{ 50'000 };
    auto started = PeerNode::Start(
      options, [this](const VmId& aPeer, const PeerMessage& aMessage, std::size_t aSize) {
        const std::lock_guard lock(this->mutex);
        this->received[aPeer].push_back(HeaderOf(aMessage).messageId);
        this->receivedBytes += aSize;
      });
    CPPUNIT_ASSERT(started.has_value());
    this->node = std::move(*started);
  }

  PeerAddress Address(const std::string& aHost) const
  {
    return { this->id, aHost + ":" + std::to_string(this->node->ListenPort()) };
  }

  bool SendPing(const VmId& aPeer, std::uint64_t aMessageId)
  {
    return this->node->Send(aPeer, Ping{ { this->id, 1, aMessageId, 0 }, {} });
  }

  bool SendChange(const VmId& aPeer, std::uint64_t aMessageId)
  {
    return this->node->Send(
      aPeer, PrimaryChanged{ { this->id, 1, aMessageId, 0 }, { DatabaseName("d"), 2, {} } });
  }

  std::vector<std::uint64_t> ReceivedFrom(const VmId& aPeer)
  {
    const std::lock_guard lock(this->mutex);
    return this->received[aPeer];
  }

  const VmId id;
  std::unique_ptr<PeerNode> node;
  std::mutex mutex;
  std::map<VmId, std::vector<std::uint64_t>> received;
  std::size_t receivedBytes = 0;
};

using PlainClient = websocketpp::client<websocketpp::config::asio_client>;

/** Opens a link as a client that is no daemon, sends one frame and waits for the link's end.
    Returns whether the link had opened. */
bool SendRaw(const std::string& aAddress,
             const std::string& aVmId,
             const std::string& aBytes,
             websocketpp::frame::opcode::value aOpcode)
{
  PlainClient client;
  client.clear_access_channels(websocketpp::log::alevel::all);
  client.clear_error_channels(websocketpp::log::elevel::all);
  client.init_asio();
  bool opened = false;
  client.set_open_handler([&](const websocketpp::connection_hdl& aHandle) {
    opened = true;
    client.send(aHandle, aBytes, aOpcode);
  });
  websocketpp::lib::error_code error;
  const PlainClient::connection_ptr connection =
    client.get_connection("ws://" + aAddress + "/peer", error);
  CPPUNIT_ASSERT(!error);
  if (!aVmId.empty()) {
    connection->append_header("Mustardshift-Vm", aVmId);
  }
  client.connect(connection);
  client.run();
  return opened;
}

} // namespace

/** Guards against peer links that lose or mix up messages, that stay down after a peer restarts,
    that grow without bound while a peer is away, or that accept messages of unknown senders. */
class PeerNodeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerNodeTest);
  CPPUNIT_TEST(DeliversBetweenThreeNodes);
  CPPUNIT_TEST(ReconnectsAfterARestart);
  CPPUNIT_TEST(DropsTheOldestPingsFirst);
  CPPUNIT_TEST(RejectsAPeerWithAnotherId);
  CPPUNIT_TEST(RejectsGarbage);
  CPPUNIT_TEST(SurvivesConcurrentUse);
  CPPUNIT_TEST(ReportsABadListenAddress);
  CPPUNIT_TEST_SUITE_END();

public:
  void DeliversBetweenThreeNodes()
  {
    Vm first("vm-1", "127.0.21.1:0");
    Vm second("vm-2", "127.0.21.2:0");
    Vm third("vm-3", "127.0.21.3:0");
    const std::vector<PeerAddress> peers{ first.Address("127.0.21.1"),
                                          second.Address("127.0.21.2"),
                                          third.Address("127.0.21.3") };
    const std::vector<Vm*> vms{ &first, &second, &third };
    for (Vm* vm : vms) {
      vm->node->SetPeers(peers);
    }
    Section("each node gets what each other sent, in order", [&] {
      for (std::uint64_t message = 1; message <= 8; ++message) {
        for (Vm* from : vms) {
          for (Vm* to : vms) {
            CPPUNIT_ASSERT_EQUAL(from != to, from->SendChange(to->id, message));
          }
        }
      }
      const std::vector<std::uint64_t> expected{ 1, 2, 3, 4, 5, 6, 7, 8 };
      for (Vm* from : vms) {
        for (Vm* to : vms) {
          if (from != to) {
            CPPUNIT_ASSERT(Eventually([&] { return to->ReceivedFrom(from->id) == expected; }));
          }
        }
      }
    });
    Section("both sides count the same bytes", [&] {
      std::uint64_t sent = 0;
      std::uint64_t received = 0;
      for (Vm* vm : vms) {
        const PeerNodeCounters counters = vm->node->Counters();
        sent += counters.bytesSent;
        received += counters.bytesReceived;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 16 }, counters.messagesReceived);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ vm->receivedBytes }, counters.bytesReceived);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, counters.linksOpen);
      }
      CPPUNIT_ASSERT_EQUAL(sent, received);
    });
    Section("a removed peer gets nothing more", [&] {
      first.node->SetPeers({ peers[2] });
      CPPUNIT_ASSERT(!first.SendChange(second.id, 9));
      CPPUNIT_ASSERT(first.SendChange(third.id, 9));
      CPPUNIT_ASSERT(Eventually([&] { return first.node->Counters().linksOpen == 1; }));
      CPPUNIT_ASSERT(Eventually([&] { return third.ReceivedFrom(first.id).size() == 9; }));
    });
    Section("a stopped node takes no messages", [&] {
      first.node->Stop();
      CPPUNIT_ASSERT(!first.SendChange(third.id, 10));
    });
  }

  void ReconnectsAfterARestart()
  {
    Vm first("vm-1", "127.0.22.1:0");
    auto second = std::make_unique<Vm>("vm-2", "127.0.22.2:0");
    const PeerAddress address = second->Address("127.0.22.2");
    first.node->SetPeers({ address });
    first.SendChange(address.id, 1);
    CPPUNIT_ASSERT(Eventually([&] { return second->ReceivedFrom(first.id).size() == 1; }));

    second.reset();
    CPPUNIT_ASSERT(Eventually([&] { return first.node->Counters().linksOpen == 0; }));
    CPPUNIT_ASSERT(first.SendChange(address.id, 2));
    second = std::make_unique<Vm>("vm-2", address.address);
    const std::vector<std::uint64_t> expected{ 2 };
    CPPUNIT_ASSERT(Eventually([&] { return second->ReceivedFrom(first.id) == expected; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, first.node->Counters().linksOpened);
  }

  void DropsTheOldestPingsFirst()
  {
    Vm first("vm-1", "127.0.23.1:0");
    auto second = std::make_unique<Vm>("vm-2", "127.0.23.2:0");
    const PeerAddress address = second->Address("127.0.23.2");
    second.reset();
    first.node->SetPeers({ address });
    // The queue holds 8 messages.
    first.SendChange(address.id, 1);
    for (std::uint64_t message = 2; message <= 20; ++message) {
      first.SendPing(address.id, message);
    }
    first.SendChange(address.id, 21);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 13 }, first.node->Counters().messagesDropped);
    second = std::make_unique<Vm>("vm-2", address.address);
    const std::vector<std::uint64_t> expected{ 1, 15, 16, 17, 18, 19, 20, 21 };
    CPPUNIT_ASSERT(Eventually([&] { return second->ReceivedFrom(first.id) == expected; }));
  }

  void RejectsAPeerWithAnotherId()
  {
    Vm first("vm-1", "127.0.24.1:0");
    Vm second("vm-2", "127.0.24.2:0");
    PeerAddress wrong = second.Address("127.0.24.2");
    wrong.id = VmId("vm-3");
    first.node->SetPeers({ wrong });
    CPPUNIT_ASSERT(first.SendChange(wrong.id, 1));
    CPPUNIT_ASSERT(Eventually([&] { return first.node->Counters().linksRejected >= 2; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, first.node->Counters().messagesSent);
    CPPUNIT_ASSERT(second.ReceivedFrom(first.id).empty());
  }

  void RejectsGarbage()
  {
    Vm vm("vm-1", "127.0.25.1:0");
    const std::string address = vm.Address("127.0.25.1").address;
    const auto encode = [](const std::string& aSender) {
      const auto bytes = EncodePeerMessage(
        PrimaryChanged{ { VmId(aSender), 1, 1, 0 }, { DatabaseName("d"), 2, {} } });
      return std::string(bytes->begin(), bytes->end());
    };
    const auto binary = websocketpp::frame::opcode::binary;
    Section("a link without a VM id, or with the node's own, does not open", [&] {
      CPPUNIT_ASSERT(!SendRaw(address, "", encode("vm-2"), binary));
      CPPUNIT_ASSERT(!SendRaw(address, "vm-1", encode("vm-1"), binary));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, vm.node->Counters().linksRejected);
    });
    Section("random, text, oversized and foreign messages end the link", [&] {
      CPPUNIT_ASSERT(SendRaw(address, "vm-2", "\x01\x02garbage", binary));
      CPPUNIT_ASSERT(SendRaw(address, "vm-2", "hello", websocketpp::frame::opcode::text));
      CPPUNIT_ASSERT(SendRaw(address, "vm-2", std::string(kPeerMessageSizeLimit * 4, 'x'), binary));
      CPPUNIT_ASSERT(SendRaw(address, "vm-2", encode("vm-3"), binary));
    });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, vm.node->Counters().messagesReceived);
    Section("the node serves its peers afterwards", [&] {
      Vm other("vm-2", "127.0.25.2:0");
      other.node->SetPeers({ vm.Address("127.0.25.1") });
      other.SendChange(vm.id, 7);
      CPPUNIT_ASSERT(Eventually([&] { return vm.ReceivedFrom(other.id).size() == 1; }));
    });
  }

  void SurvivesConcurrentUse()
  {
    Vm first("vm-1", "127.0.26.1:0");
    Vm second("vm-2", "127.0.26.2:0");
    const std::vector<PeerAddress> peers{ second.Address("127.0.26.2") };
    first.node->SetPeers(peers);
    constexpr std::size_t kSenders = 3;
    std::vector<std::thread> threads;
    threads.reserve(kSenders + 1);
    for (std::size_t thread = 0; thread < kSenders; ++thread) {
      threads.emplace_back([&] {
        for (std::uint64_t message = 1; message <= 500; ++message) {
          first.SendPing(second.id, message);
        }
      });
    }
    threads.emplace_back([&] {
      for (int i = 0; i < 20; ++i) {
        first.node->SetPeers({});
        first.node->SetPeers(peers);
      }
    });
    for (std::thread& thread : threads) {
      thread.join();
    }
    CPPUNIT_ASSERT(Eventually([&] { return first.node->Counters().linksOpen == 1; }));
    CPPUNIT_ASSERT(first.SendChange(second.id, 1000));
    CPPUNIT_ASSERT(Eventually([&] {
      const std::vector<std::uint64_t> received = second.ReceivedFrom(first.id);
      return std::find(received.begin(), received.end(), 1000) != received.end();
    }));
  }

  void ReportsABadListenAddress()
  {
    PeerNodeOptions options;
    options.self = VmId("vm-1");
    const auto ignore = [](const VmId&, const PeerMessage&, std::size_t) {};
    for (const std::string address :
         { "", "127.0.0.1", "127.0.0.1:", "localhost:1", "127.0.0.1:70000" }) {
      options.listenAddress = address;
      CPPUNIT_ASSERT(!PeerNode::Start(options, ignore).has_value());
    }
    const Vm vm("vm-2", "127.0.27.1:0");
    options.listenAddress = vm.Address("127.0.27.1").address;
    CPPUNIT_ASSERT(!PeerNode::Start(options, ignore).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerNodeTest);

} // namespace mustardshift
