#include "papayabend/report/SvgPlot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace papayabend::report {

namespace {

    constexpr double width = 640;
    constexpr double height = 300;
    constexpr double left = 70;
    constexpr double right = 150;
    constexpr double top = 30;
    constexpr double bottom = 45;
    constexpr int tickCount = 5;
    constexpr std::array colors { "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b" };

    std::string format(double value, const char* pattern = "%.4g")
    {
        char buf[32];
        std::snprintf(buf, sizeof buf, pattern, value);
        return buf;
    }

    // Rounds up to 1, 2, 2.5 or 5 times a power of ten, so that the ticks are round numbers.
    double roundUp(double value)
    {
        if (!(value > 0))
            return 1;
        double power = std::pow(10, std::floor(std::log10(value)));
        for (double factor : { 1.0, 2.0, 2.5, 5.0 }) {
            if (value <= factor * power)
                return factor * power;
        }
        return 10 * power;
    }

    std::string textAt(double x, double y, std::string_view anchor, std::string_view text)
    {
        return "<text x=\"" + format(x, "%.1f") + "\" y=\"" + format(y, "%.1f") + "\" text-anchor=\""
            + std::string(anchor) + "\">" + escapeMarkup(text) + "</text>\n";
    }

    std::string lineBetween(double x1, double y1, double x2, double y2, std::string_view color)
    {
        return "<line x1=\"" + format(x1, "%.1f") + "\" y1=\"" + format(y1, "%.1f") + "\" x2=\"" + format(x2, "%.1f")
            + "\" y2=\"" + format(y2, "%.1f") + "\" stroke=\"" + std::string(color) + "\"/>\n";
    }

}

std::string escapeMarkup(std::string_view text)
{
    std::string out;
    for (char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        case '\'':
            out += "&#39;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string renderSvg(const Plot& plot)
{
    double maxX = 0;
    double maxY = 0;
    for (const auto& series : plot.series) {
        for (auto [x, y] : series.points) {
            maxX = std::max(maxX, x);
            maxY = std::max(maxY, y);
        }
    }
    maxX = maxX > 0 ? maxX : 1;
    maxY = roundUp(maxY);
    double plotWidth = width - left - right;
    double plotHeight = height - top - bottom;
    auto toX = [&](double x) { return left + plotWidth * x / maxX; };
    auto toY = [&](double y) { return top + plotHeight * (1 - y / maxY); };
    std::string out = "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 640 300\" width=\"640\" height=\"300\" "
                      "font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"640\" height=\"300\" "
                      "fill=\"#ffffff\"/>\n";
    out += textAt(left + plotWidth / 2, top - 12, "middle", plot.title);
    out += textAt(left + plotWidth / 2, height - 8, "middle", plot.xLabel);
    out += textAt(6, top - 12, "start", plot.yLabel);
    for (int n = 0; n <= tickCount; ++n) {
        double x = maxX * n / tickCount;
        double y = maxY * n / tickCount;
        out += lineBetween(left, toY(y), left + plotWidth, toY(y), "#dddddd");
        out += textAt(left - 5, toY(y) + 4, "end", format(y));
        out += textAt(toX(x), top + plotHeight + 15, "middle", format(x));
    }
    for (size_t n = 0; n < plot.series.size(); ++n) {
        const auto* color = colors[n % colors.size()];
        out += std::string("<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"") + color + "\" points=\"";
        for (auto [x, y] : plot.series[n].points)
            out += format(toX(x), "%.1f") + "," + format(toY(y), "%.1f") + " ";
        out += "\"/>\n";
        double y = top + 14 * static_cast<double>(n);
        out += lineBetween(width - right + 8, y, width - right + 24, y, color);
        out += textAt(width - right + 28, y + 4, "start", plot.series[n].name);
    }
    return out + "</svg>\n";
}

}
