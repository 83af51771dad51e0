#include "charts/charts.hpp"

#include <plplot/plstream.h>

#include <algorithm>
#include <cmath>
#include <filesystem>

namespace valekeel::charts {
namespace {

// Distinct, and told apart in grey too: from dark to light.
constexpr int kColours[][3] = {{31, 78, 121},  {192, 80, 40},  {70, 130, 60}, {120, 70, 140},
                               {20, 140, 140}, {150, 120, 30}, {90, 90, 90},  {200, 60, 120}};
constexpr int kMost = 8, kInk = 15, kPale = 14;

struct Extent {
    double low = 0, high = 0;
    bool any = false;
    void take(double v) {
        if (!std::isfinite(v)) return;
        low = any ? std::min(low, v) : v;
        high = any ? std::max(high, v) : v;
        any = true;
    }
    void widen() {
        if (high <= low) high = low + (low == 0 ? 1 : std::abs(low) * 0.1);
    }
};

// PLplot reads '#' as an escape of its own.
std::string plain(std::string text) {
    std::string out;
    for (const char c : text) out += c == '#' ? std::string("##") : std::string(1, c);
    return out;
}

class Page {
  public:
    explicit Page(const std::string& file) : fresh_(file + ".new") {
        pl_.sdev("svg");
        pl_.sfnam(fresh_.c_str());
        pl_.setopt("geometry", "900x560");
        pl_.scolbg(255, 255, 255);
        for (int i = 0; i < kMost; ++i) pl_.scol0(i + 1, kColours[i][0], kColours[i][1], kColours[i][2]);
        pl_.scol0(kPale, 205, 205, 205);
        pl_.scol0(kInk, 30, 30, 30);
        pl_.init();
        pl_.adv(0);
        pl_.schr(0, 0.75);
        pl_.vpor(0.1, 0.78, 0.12, 0.9);
    }
    plstream* operator->() { return &pl_; }
    void frame(const Chart& chart, const Extent& x, const Extent& y, const char* xWay) {
        pl_.wind(x.low, x.high, y.low, y.high);
        pl_.col0(kPale);
        pl_.box("", 0, 0, "g", 0, 0);
        pl_.col0(kInk);
        pl_.box(xWay, 0, 0, "bnstv", 0, 0);
        pl_.lab(plain(chart.xName).c_str(), plain(chart.yName).c_str(), plain(chart.title).c_str());
    }
    void legend(const Chart& chart, const Extent& x, const Extent& y) {
        // To the right of the plot, in the plot's own measure.
        const double wide = x.high - x.low, high = y.high - y.low;
        pl_.vpor(0.1, 0.999, 0.12, 0.9);
        pl_.wind(x.low, x.low + wide * 0.899 / 0.68, y.low, y.high);
        int row = 0;
        for (const Series& s : chart.series) {
            const double at = y.high - high * (0.04 + 0.055 * row);
            pl_.col0(1 + row % kMost);
            pl_.width(3);
            pl_.join(x.high + wide * 0.02, at, x.high + wide * 0.06, at);
            pl_.width(1);
            pl_.col0(kInk);
            pl_.ptex(x.high + wide * 0.07, at, 1, 0, 0, plain(s.name).c_str());
            ++row;
        }
    }

  private:
    std::string fresh_;
    plstream pl_;
};

void putInPlace(const std::string& file) {
    std::error_code wrong;
    std::filesystem::rename(file + ".new", file, wrong);
    if (wrong) throw std::runtime_error("cannot write the chart " + file + ": " + wrong.message());
}

void checkAll(const Chart& chart, std::size_t labels) {
    if (chart.series.empty()) throw std::invalid_argument("a chart is expected to have a series");
    for (const Series& s : chart.series) {
        const std::size_t n = labels ? labels : s.x.size();
        if (n == 0 || s.y.size() != n || (!s.low.empty() && s.low.size() != n) ||
            s.low.size() != s.high.size())
            throw std::invalid_argument("series '" + s.name + "': as many values are expected as places");
    }
}

}  // namespace

void drawLines(const Chart& chart, const std::string& file) {
    checkAll(chart, 0);
    Extent x, y;
    const auto across = [&](double v) { return chart.logX ? std::log10(std::max(v, 1e-12)) : v; };
    for (const Series& s : chart.series) {
        for (const double v : s.x) x.take(across(v));
        for (const auto* all : {&s.y, &s.low, &s.high})
            for (const double v : *all) y.take(v);
    }
    if (chart.fromZero) y.take(0);
    x.widen();
    y.widen();
    y.high += (y.high - y.low) * 0.05;
    {
        Page page(file);
        page.frame(chart, x, y, chart.logX ? "bclnst" : "bcnst");
        for (const auto& [at, name] : chart.marks) {
            page->col0(kPale);
            page->join(across(at), y.low, across(at), y.high);
            page->col0(kInk);
            page->ptex(across(at), y.high - (y.high - y.low) * 0.03, 0, 1, 0, plain(name).c_str());
        }
        int colour = 0;
        for (const Series& s : chart.series) {
            page->col0(1 + colour++ % kMost);
            std::vector<double> xs;
            for (const double v : s.x) xs.push_back(across(v));
            const auto n = static_cast<PLINT>(xs.size());
            page->width(2.5);
            page->line(n, xs.data(), s.y.data());
            page->width(1);
            if (!s.low.empty()) {
                for (PLINT i = 0; i < n; ++i) {
                    const auto k = static_cast<std::size_t>(i);
                    page->join(xs[k], s.low[k], xs[k], s.high[k]);
                }
            }
            if (n <= 60) page->poin(n, xs.data(), s.y.data(), 17);
        }
        page.legend(chart, x, y);
        page->eop();
    }
    putInPlace(file);
}

void drawBars(const Chart& chart, const std::vector<std::string>& labels, const std::string& file) {
    checkAll(chart, labels.size());
    Extent x{-0.5, static_cast<double>(labels.size()) - 0.5, true}, y;
    y.take(0);
    for (const Series& s : chart.series)
        for (const auto* all : {&s.y, &s.high})
            for (const double v : *all) y.take(v);
    y.widen();
    y.high += (y.high - y.low) * 0.05;
    {
        Page page(file);
        page.frame(chart, x, y, "bc");
        const double each = 0.8 / static_cast<double>(chart.series.size());
        for (std::size_t k = 0; k < chart.series.size(); ++k) {
            const Series& s = chart.series[k];
            for (std::size_t i = 0; i < labels.size(); ++i) {
                const double from = static_cast<double>(i) - 0.4 + each * static_cast<double>(k);
                PLFLT xs[4] = {from, from + each * 0.92, from + each * 0.92, from};
                PLFLT ys[4] = {0, 0, s.y[i], s.y[i]};
                page->col0(static_cast<PLINT>(1 + k % kMost));
                page->fill(4, xs, ys);
                if (!s.low.empty()) {
                    page->col0(kInk);
                    page->join(from + each * 0.46, s.low[i], from + each * 0.46, s.high[i]);
                }
            }
        }
        page->col0(kInk);
        for (std::size_t i = 0; i < labels.size(); ++i)
            page->mtex("b", 1.2, (static_cast<double>(i) + 0.5) / static_cast<double>(labels.size()), 0.5,
                       plain(labels[i]).c_str());
        page.legend(chart, x, y);
        page->eop();
    }
    putInPlace(file);
}

}  // namespace valekeel::charts
