#include "simulation/environment.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <filesystem>
#include <fstream>
#include <map>

#include "front/front.hpp"
#include "net/epoll.hpp"
#include "net/process.hpp"
#include "net/virtual.hpp"
#include "simulation/baselines.hpp"

namespace valekeel::simulation {
namespace {

// ---- on real sockets ----

class ProcessFront final : public FrontProcess {
  public:
    ProcessFront(std::string program, std::string base)
        : program_(std::move(program)), base_(std::move(base)) {}
    void start(const std::string& settings, std::uint64_t seed, const std::string& decisions) override {
        cpu_ += process_.cpuSeconds();
        std::ofstream(base_ + ".kdl") << settings;
        std::filesystem::remove(base_ + ".port");  // else its old place would be taken for a new one
        std::vector<std::string> args{program_,        "serve",  base_ + ".kdl",       "--port-file",
                                      base_ + ".port", "--seed", std::to_string(seed), "--with-parent"};
        if (!decisions.empty()) {
            args.push_back("--decisions");
            args.push_back(decisions);
        }
        process_ = net::Process(args);
        at_.clear();
    }
    void kill() override {
        process_.kill();
        at_.clear();
        std::filesystem::remove(base_ + ".port");
    }
    void requestStop() override { process_.requestStop(); }
    void pause() override { process_.pause(); }
    void resume() override { process_.resume(); }
    bool running() override { return process_.running(); }
    double cpuSeconds() const override { return cpu_ + process_.cpuSeconds(); }
    std::optional<net::Endpoint> http() override { return place(0); }
    std::optional<net::Endpoint> sip() override { return place(1); }

  private:
    std::optional<net::Endpoint> place(std::size_t line) {
        if (at_.empty()) {
            std::ifstream in(base_ + ".port");
            for (std::string text; std::getline(in, text);)
                if (const auto at = net::parseEndpoint(text)) at_.push_back(*at);
        }
        return line < at_.size() ? std::optional(at_[line]) : std::nullopt;
    }
    std::string program_, base_;
    net::Process process_;
    std::vector<net::Endpoint> at_;
    double cpu_ = 0;
};

class RealHouse final : public Environment {
  public:
    RealHouse(std::string program, std::string folder, std::uint64_t seed)
        : program_(std::move(program)), folder_(std::move(folder)), net_(seed) {
        net::raiseDescriptorLimit();
    }
    net::Net& net() override { return net_; }
    net::Net& netOf(int) override { return net_; }
    net::Endpoint boxAt() override { return *net::parseEndpoint("127.0.0.1:0"); }
    void runOnce(Micros atMost) override { net_.runOnce(atMost); }
    std::unique_ptr<FrontProcess> front(int, const std::string& name) override {
        return std::make_unique<ProcessFront>(program_, folder_ + "/" + name);
    }

  private:
    std::string program_, folder_;
    net::EpollNet net_;
};

// ---- on a virtual clock ----

class VirtualFront final : public FrontProcess {
  public:
    VirtualFront(net::VirtualNode& node, std::string base) : node_(node), base_(std::move(base)) {}
    ~VirtualFront() override { kill(); }
    void start(const std::string& settings, std::uint64_t seed, const std::string& decisions) override {
        kill();
        const front::ModuleOverride other = decisions.empty() ? front::ModuleOverride{} : baseline(decisions);
        front_ = std::make_unique<front::Front>(node_, settings::Document::fromText(base_ + ".kdl", settings),
                                                seed, ++life_, other);
        stopped_ = false;
    }
    void kill() override {
        node_.crashing = true;
        front_.reset();
        node_.crashing = false;
        node_.resume();
    }
    void requestStop() override {
        if (front_) front_->stop(front_->stopTimeout(), [this] { stopped_ = true; });
    }
    void pause() override { node_.pause(); }
    void resume() override { node_.resume(); }
    bool running() override {
        if (front_ && stopped_) front_.reset();
        return front_ != nullptr;
    }
    double cpuSeconds() const override { return node_.busySeconds(); }
    std::optional<net::Endpoint> http() override {
        return front_ ? std::optional(front_->http()) : std::nullopt;
    }
    std::optional<net::Endpoint> sip() override {
        return front_ && front_->sipFrontend() ? std::optional(front_->sipFrontend()->endpoint())
                                               : std::nullopt;
    }

  private:
    net::VirtualNode& node_;
    std::string base_;
    std::unique_ptr<front::Front> front_;
    std::uint64_t life_ = 0;
    bool stopped_ = false;
};

class VirtualHouse final : public Environment {
  public:
    VirtualHouse(std::string folder, std::uint64_t seed)
        : folder_(std::move(folder)), world_(seed), own_(world_.node("stand-ins", address(0, 0, 1))) {}
    net::Net& net() override { return own_; }
    net::Net& netOf(int member) override {
        if (member < 0) return own_;
        auto& node = members_[member];
        if (!node)
            node = &world_.node("member" + std::to_string(member),
                                address(1 + member / 250, 1 + member % 250, 1));
        return *node;
    }
    net::Endpoint boxAt() override { return {address(0, 0, 1), 0}; }
    void runOnce(Micros atMost) override { world_.runUntil(world_.now() + atMost); }
    std::unique_ptr<FrontProcess> front(int number, const std::string& name) override {
        return std::make_unique<VirtualFront>(
            world_.node(name, address(0, 1 + number / 250, 1 + number % 250)), folder_ + "/" + name);
    }

  private:
    static net::IpAddress address(int b, int c, int d) {
        return boost::asio::ip::address_v4(boost::asio::ip::address_v4::bytes_type{
            10, static_cast<unsigned char>(b), static_cast<unsigned char>(c), static_cast<unsigned char>(d)});
    }
    std::string folder_;
    net::VirtualNetwork world_;
    net::VirtualNode& own_;
    std::map<int, net::VirtualNode*> members_;
};

}  // namespace

std::unique_ptr<Environment> makeSocketEnvironment(const std::string& program, const std::string& folder,
                                                   std::uint64_t seed) {
    return std::make_unique<RealHouse>(program, folder, seed);
}
std::unique_ptr<Environment> makeVirtualEnvironment(const std::string& folder, std::uint64_t seed) {
    return std::make_unique<VirtualHouse>(folder, seed);
}

}  // namespace valekeel::simulation
