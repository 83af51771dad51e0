// Charts as SVG files, drawn by PLplot: lines with confidence bands, and bars. No display is needed.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace valekeel::charts {

struct Series {
    std::string name;
    std::vector<double> x, y;
    std::vector<double> low, high;  // of a band around y; both empty, or both as long as y
};

struct Chart {
    std::string title, xName, yName;
    bool logX = false;
    bool fromZero = true;  // the y axis begins at zero
    std::vector<Series> series;
    std::vector<std::pair<double, std::string>> marks;  // upright lines, as of a trouble that begins
};

// Written whole or not at all. Throws std::invalid_argument where there is nothing to draw or a series'
// lengths differ, std::runtime_error where the file can't be written.
void drawLines(const Chart&, const std::string& file);

// One group of bars for each label, one bar of it for each series (their x is not used).
void drawBars(const Chart&, const std::vector<std::string>& labels, const std::string& file);

}  // namespace valekeel::charts
