#include "experiment/statistics.hpp"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>

namespace valekeel::experiment {
namespace {

double meanOf(const std::vector<double>& v) {
    double sum = 0;
    for (const double x : v) sum += x;
    return v.empty() ? 0 : sum / static_cast<double>(v.size());
}
double varianceOf(const std::vector<double>& v) {
    if (v.size() < 2) return 0;
    const double mean = meanOf(v);
    double sum = 0;
    for (const double x : v) sum += (x - mean) * (x - mean);
    return sum / static_cast<double>(v.size() - 1);
}
double reach(double freedom) {
    return boost::math::quantile(boost::math::students_t(freedom), 0.975);
}
double chance(double t, double freedom) {
    return 2 * boost::math::cdf(boost::math::complement(boost::math::students_t(freedom), std::abs(t)));
}

}  // namespace

Estimate estimate(const std::vector<double>& v) {
    Estimate out{meanOf(v), 0, v.size()};
    if (v.size() > 1) {
        const auto n = static_cast<double>(v.size());
        out.half = reach(n - 1) * std::sqrt(varianceOf(v) / n);
    }
    return out;
}

Difference difference(const std::vector<double>& a, const std::vector<double>& b, bool paired) {
    Difference out;
    if (paired && a.size() == b.size()) {
        std::vector<double> each;
        for (std::size_t i = 0; i < a.size(); ++i) each.push_back(b[i] - a[i]);
        out.paired = true;
        out.change = estimate(each);
        const double spread =
            std::sqrt(varianceOf(each) / static_cast<double>(std::max<std::size_t>(1, each.size())));
        if (each.size() > 1)
            out.p = spread > 0 ? chance(out.change.mean / spread, static_cast<double>(each.size() - 1))
                               : (out.change.mean == 0 ? 1 : 0);
    } else {
        const double va = a.empty() ? 0 : varianceOf(a) / static_cast<double>(a.size());
        const double vb = b.empty() ? 0 : varianceOf(b) / static_cast<double>(b.size());
        out.change.mean = meanOf(b) - meanOf(a);
        out.change.of = std::min(a.size(), b.size());
        if (out.change.of > 1) {
            const double all = va + vb;
            const double freedom = all > 0 ? all * all /
                                                 (va * va / static_cast<double>(a.size() - 1) +
                                                  vb * vb / static_cast<double>(b.size() - 1))
                                           : 1;
            out.change.half = all > 0 ? reach(freedom) * std::sqrt(all) : 0;
            out.p =
                all > 0 ? chance(out.change.mean / std::sqrt(all), freedom) : (out.change.mean == 0 ? 1 : 0);
        }
    }
    out.differs = out.p < 0.05;
    return out;
}

}  // namespace valekeel::experiment
