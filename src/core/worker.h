// grademux: one thread beside the loop, for work that would hold the loop up. It is started by the first job.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace grademux {

class Worker {
 public:
  // Runs on the worker; what it gives back then runs on the loop. Neither may throw.
  using Job = std::function<std::function<void()>()>;

  explicit Worker(boost::asio::io_context& io) : io_(io) {}
  ~Worker() {
    if (pool_)
      pool_->join();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // On the loop; jobs run one after another.
  void run(Job job) {
    if (!pool_)
      pool_ = std::make_unique<boost::asio::thread_pool>(1);
    boost::asio::post(*pool_, [&io = io_, job = std::move(job)] { boost::asio::post(io, job()); });
  }

 private:
  boost::asio::io_context& io_;
  std::unique_ptr<boost::asio::thread_pool> pool_;
};

}  // namespace grademux
