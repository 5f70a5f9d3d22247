// The membership of a standalone program: combines the partners of the daemon file, of watched files and
// folders, and their DNS names in one table, and passes changes to the core. Runs on the loop; the worker
// reads the files, except when a folder is opened, which reads them in the call.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "../core/worker.h"
#include "../net/dns_client.h"
#include "folder.h"
#include "membership.h"
#include "table.h"

namespace grademux {

struct SourcesSpec {
  std::vector<Partner> partners;  // from the daemon file
  std::vector<FolderSpec> folders;
  PartnerDefaults defaults;
  DnsServers dns;
  DnsLimits dns_limits;
};

class PartnerSources : public Membership {
 public:
  // `stored`: the entries of the endpoint list in the journal, written by an earlier process. Throws
  // std::runtime_error if the DNS client cannot be initialised.
  PartnerSources(boost::asio::io_context& io, Worker& worker, SourcesSpec spec,
                 const std::vector<std::string>& stored, OnAnswer on_answer);
  ~PartnerSources() override;

  void start(std::int64_t version) override;
  void refresh() override;
  // Applies a reloaded daemon file. Throws as the constructor does, and then nothing has changed.
  void change(SourcesSpec spec);

  const PartnerTable& table() const { return table_; }

 private:
  static constexpr const char* kDaemonFile = "daemon file";
  struct DnsName {
    explicit DnsName(NameSpec s, const DnsLimits& l) : memory(std::move(s), l) {}
    NameMemory memory;
    bool query_pending = false, failing = false;
    std::uint64_t generation = 0;
  };

  void openFolders();
  void onFolderChanges(const FolderSpec& source, FolderChanges result);
  void adoptUnit(const std::string& unit);
  void publishChanges(const std::string& source, bool is_snapshot = false);
  void updateDnsName(const std::string& partner);
  void startDueQueries();
  void onDnsAnswer(const std::string& partner, std::uint64_t generation, const DnsAnswer& answer);
  void scheduleQuery(const std::string& partner);

  boost::asio::io_context& io_;
  Worker& worker_;
  SourcesSpec spec_;
  OnAnswer on_answer_;
  PartnerTable table_;
  std::vector<std::unique_ptr<PartnerFolder>> folders_;
  std::set<std::string> unreadable_;  // sources that were logged as unreadable
  // Entries that an earlier process stored, by unit; their addresses, by partner. Cleared by start().
  std::unordered_map<std::string, std::vector<StoredEntry>> stored_entries_;
  std::unordered_map<std::string, std::vector<std::string>> stored_addresses_;
  std::unique_ptr<DnsClient> dns_;
  std::unordered_map<std::string, DnsName> names_;  // by partner
  std::set<std::pair<Micros, std::string>> due_;
  std::unordered_map<std::string, Micros> due_at_;
  std::size_t pending_queries_ = 0;
  boost::asio::steady_timer timer_;
  std::int64_t version_ = -1;
  std::uint64_t last_generation_ = 0;
  bool started_ = false;
};

}  // namespace grademux
