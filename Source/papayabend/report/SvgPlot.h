#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayabend::report {

/** \struct Series
 * \brief One line of a plot; points in order of their first coordinate.
 */
struct Series {
    std::string name;
    std::vector<std::pair<double, double>> points;
};

/** \struct Plot
 * \brief Line plot with linear axes that start at 0.
 */
struct Plot {
    std::string title;
    std::string xLabel;
    std::string yLabel;
    std::vector<Series> series;
};

/** Returns an SVG element that needs no style sheet, script or font file. */
std::string renderSvg(const Plot&);

/** Escapes text for HTML and SVG. */
std::string escapeMarkup(std::string_view);

}
