// grademux: the membership of a program that stands alone: partners of its daemon file, of watched files and
// folders, and their names in DNS, brought together in one table and told to the core as changes.
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
  std::vector<Partner> partners;  // of the daemon file
  std::vector<FolderSpec> folders;
  PartnerDefaults defaults;
  DnsServers dns;
  DnsLimits dns_limits;
};

class PartnerSources : public Membership {
 public:
  // `kept`: the list's entries as the journal has them, of an earlier process. Throws std::runtime_error if
  // name servers can't be asked at all.
  PartnerSources(boost::asio::io_context& io, Worker& worker, SourcesSpec spec,
                 const std::vector<std::string>& kept, OnAnswer hear);
  ~PartnerSources() override;

  void start(std::int64_t version) override;
  void refresh() override;
  // A daemon file that was read again. Throws as the constructor does; then all is as before.
  void change(SourcesSpec spec);

  const PartnerTable& table() const { return table_; }

 private:
  static constexpr const char* kDaemonFile = "daemon file";
  struct Name {
    explicit Name(NameSpec s, const DnsLimits& l) : memory(std::move(s), l) {}
    NameMemory memory;
    bool asking = false, failing = false;
    std::uint64_t turn = 0;
  };

  void openFolders();
  void heard(const FolderSpec& source, FolderChanges news);
  void adoptUnit(const std::string& unit);
  void tell(const std::string& source, bool whole = false);
  void follow(const std::string& partner);
  void lookUp();
  void answered(const std::string& partner, std::uint64_t turn, const DnsAnswer& answer);
  void schedule(const std::string& partner);

  boost::asio::io_context& io_;
  Worker& worker_;
  SourcesSpec spec_;
  OnAnswer hear_;
  PartnerTable table_;
  std::vector<std::unique_ptr<PartnerFolder>> folders_;
  std::set<std::string> unreadable_;  // sources of which that was told
  // What an earlier process kept: by unit, and the addresses by partner.
  std::unordered_map<std::string, std::vector<KeptEntry>> kept_;
  std::unordered_map<std::string, std::vector<std::string>> kept_addresses_;
  std::unique_ptr<DnsClient> dns_;
  std::unordered_map<std::string, Name> names_;  // by partner
  std::set<std::pair<Micros, std::string>> due_;
  std::unordered_map<std::string, Micros> due_at_;
  std::size_t asking_ = 0;
  boost::asio::steady_timer timer_;
  std::int64_t version_ = -1;
  std::uint64_t turn_ = 0;
  bool started_ = false;
};

}  // namespace grademux
