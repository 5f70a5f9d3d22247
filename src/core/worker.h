// A background thread for work that would block the loop thread. The first job starts the thread.
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
  // Runs on the background thread and returns a continuation, which runs on the loop thread. Neither may
  // throw.
  using Job = std::function<std::function<void()>()>;

  // `io` must outlive the worker. The destructor waits for all jobs.
  explicit Worker(boost::asio::io_context& io) : io_(io) {}
  ~Worker() {
    if (pool_)
      pool_->join();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Queues a job; must be called on the loop thread. Jobs run one after another.
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
