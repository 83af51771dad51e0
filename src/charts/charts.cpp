#include "charts/charts.hpp"

#include <plplot/plstream.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <set>
#include <sstream>

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

// Names that are short stand beside the plot; long ones under it, a row each.
std::size_t rowsUnder(const Chart& chart) {
    const bool isLong = std::any_of(chart.series.begin(), chart.series.end(),
                                    [](const Series& s) { return s.name.size() > 22; });
    return isLong || chart.series.size() > 14 ? chart.series.size() : 0;
}

class Page {
  public:
    Page(const std::string& file, const Chart& chart)
        : fresh_(file + ".new"), rows_(rowsUnder(chart)), tall_(560 + 22 * static_cast<double>(rows_)) {
        pl_.sdev("svg");
        pl_.sfnam(fresh_.c_str());
        pl_.setopt("geometry", ("900x" + std::to_string(static_cast<int>(tall_))).c_str());
        pl_.scolbg(255, 255, 255);
        for (int i = 0; i < kMost; ++i) pl_.scol0(i + 1, kColours[i][0], kColours[i][1], kColours[i][2]);
        pl_.scol0(kPale, 205, 205, 205);
        pl_.scol0(kInk, 30, 30, 30);
        pl_.init();
        pl_.adv(0);
        pl_.schr(0, 0.75 * 560 / tall_);
        place();
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
    // The colours come again after the eighth, in dashes.
    void style(std::size_t series) {
        pl_.col0(static_cast<PLINT>(1 + series % kMost));
        pl_.lsty(series < kMost ? 1 : 2);
    }
    void legend(const Chart& chart) {
        const bool beside = rows_ == 0;
        pl_.vpor(0, 1, 0, 1);
        pl_.wind(0, 900, 0, tall_);
        for (std::size_t i = 0; i < chart.series.size(); ++i) {
            const double x = beside ? 714 : 90;
            const double y =
                beside ? 486 - 24 * static_cast<double>(i) : 22 * static_cast<double>(rows_ - i) - 10;
            style(i);
            pl_.width(3);
            pl_.join(x, y, x + 26, y);
            pl_.width(1);
            pl_.lsty(1);
            pl_.col0(kInk);
            pl_.ptex(x + 32, y, 1, 0, 0, plain(chart.series[i].name).c_str());
        }
    }

  private:
    void place() {
        const double under = 22 * static_cast<double>(rows_);
        pl_.vpor(0.1, rows_ ? 0.97 : 0.78, (under + 67) / tall_, (under + 504) / tall_);
    }
    std::string fresh_;
    std::size_t rows_;
    double tall_;
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
        Page page(file, chart);
        // Few places are named as they are: a log axis alone would show one power of ten, or none.
        std::set<double> places;
        for (const Series& one : chart.series) places.insert(one.x.begin(), one.x.end());
        const bool named = places.size() <= 10;
        page.frame(chart, x, y, named ? "bc" : chart.logX ? "bclnst" : "bcnst");
        if (named)
            for (const double at : places) {
                std::ostringstream text;
                text << at;
                page->mtex("b", 1.2, (across(at) - x.low) / (x.high - x.low), 0.5, text.str().c_str());
            }
        for (const auto& [at, name] : chart.marks) {
            page->col0(kPale);
            page->join(across(at), y.low, across(at), y.high);
            page->col0(kInk);
            page->ptex(across(at), y.high - (y.high - y.low) * 0.03, 0, 1, 0, plain(name).c_str());
        }
        std::size_t number = 0;
        for (const Series& s : chart.series) {
            page.style(number++);
            std::vector<double> xs;
            for (const double v : s.x) xs.push_back(across(v));
            const auto n = static_cast<PLINT>(xs.size());
            page->width(2.5);
            page->line(n, xs.data(), s.y.data());
            page->width(1);
            page->lsty(1);
            if (!s.low.empty()) {
                for (PLINT i = 0; i < n; ++i) {
                    const auto k = static_cast<std::size_t>(i);
                    page->join(xs[k], s.low[k], xs[k], s.high[k]);
                }
            }
            if (n <= 60) page->poin(n, xs.data(), s.y.data(), 17);
        }
        page.legend(chart);
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
        Page page(file, chart);
        page.frame(chart, x, y, "bc");
        const double each = 0.8 / static_cast<double>(chart.series.size());
        for (std::size_t k = 0; k < chart.series.size(); ++k) {
            const Series& s = chart.series[k];
            for (std::size_t i = 0; i < labels.size(); ++i) {
                const double from = static_cast<double>(i) - 0.4 + each * static_cast<double>(k);
                PLFLT xs[4] = {from, from + each * 0.92, from + each * 0.92, from};
                PLFLT ys[4] = {0, 0, s.y[i], s.y[i]};
                page.style(k);
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
        page.legend(chart);
        page->eop();
    }
    putInPlace(file);
}

}  // namespace valekeel::charts
