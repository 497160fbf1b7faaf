#include "nutmegarch/load/load_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

#include <boost/json.hpp>

namespace nutmegarch::load {

namespace {

// Sizes in pixels.
constexpr int plot_width = 600;
constexpr int plot_height = 260;
constexpr int margin = 48;
constexpr int right_margin = 24;
/// Colors by call_class.
constexpr std::array<const char*, call_class_count> class_colors = {"#b3261e", "#d98200", "#2a6fb0"};
/// The rate axis ends at a multiple of this, in requests per second.
constexpr double rate_axis_step = 100;
constexpr const char* offered_color = "#999999";

std::string escape_html(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    escaped += c == '<'   ? "&lt;"
               : c == '>' ? "&gt;"
               : c == '&' ? "&amp;"
               : c == '"' ? "&quot;"
                          : std::string(1, c);
  }
  return escaped;
}

/// Maps times and rates to pixels of the plot.
struct plot_scale {
  /// End of the time axis.
  double max_seconds = 1;
  /// End of the rate axis, in requests per second.
  double max_rate = 1;

  double x(double second) const {
    return margin + second * (plot_width - margin - right_margin) / max_seconds;
  }
  double y(double rate) const { return plot_height - margin - rate * (plot_height - margin - 20) / max_rate; }
};

/// Answered requests of the first `class_count` classes in one second.
double cumulative_answered(const second_result& second, int class_count) {
  double sum = 0;
  for (int i = 0; i < class_count; ++i) {
    sum += static_cast<double>(second.answered.at(static_cast<std::size_t>(i)));
  }
  return sum;
}

/// Writes the area of one class in the stacked plot of answers: the area between the step curves of the
/// cumulative counts without and with this class.
void write_band(std::ostream& out, const load_result& result, const plot_scale& axes, int cls) {
  std::ostringstream upper;
  std::ostringstream lower;
  for (std::size_t i = 0; i < result.seconds.size(); ++i) {
    const double left = axes.x(static_cast<double>(i));
    const double right = axes.x(static_cast<double>(i + 1));
    const double top = axes.y(cumulative_answered(result.seconds.at(i), cls + 1));
    upper << left << ',' << top << ' ' << right << ',' << top << ' ';
  }
  for (std::size_t i = result.seconds.size(); i > 0; --i) {
    const double bottom = axes.y(cumulative_answered(result.seconds.at(i - 1), cls));
    lower << axes.x(static_cast<double>(i)) << ',' << bottom << ' ' << axes.x(static_cast<double>(i - 1))
          << ',' << bottom << ' ';
  }
  out << "<polygon fill=\"" << class_colors.at(static_cast<std::size_t>(cls))
      << "\" fill-opacity=\"0.75\" points=\"" << upper.str() << lower.str() << "\"/>\n";
}

void write_offered(std::ostream& out, const load_result& result, const plot_scale& axes) {
  out << "<polyline fill=\"none\" stroke=\"" << offered_color << "\" stroke-width=\"2\" points=\"";
  for (std::size_t i = 0; i < result.seconds.size(); ++i) {
    const double y = axes.y(static_cast<double>(result.seconds.at(i).offered));
    out << axes.x(static_cast<double>(i)) << ',' << y << ' ' << axes.x(static_cast<double>(i + 1)) << ',' << y
        << ' ';
  }
  out << "\"/>\n";
}

void write_axes(std::ostream& out, const plot_scale& axes) {
  const double step = axes.max_seconds > 60 ? 20 : axes.max_seconds > 20 ? 5 : 2;
  for (double second = 0; second <= axes.max_seconds; second += step) {
    out << "<text x=\"" << axes.x(second) << "\" y=\"" << plot_height - margin + 16
        << "\" text-anchor=\"middle\">" << second << " s</text>\n";
  }
  for (int i = 0; i <= 4; ++i) {
    const double value = axes.max_rate * i / 4;
    out << "<line x1=\"" << margin << "\" x2=\"" << plot_width - right_margin << "\" y1=\"" << axes.y(value)
        << "\" y2=\"" << axes.y(value) << "\" stroke=\"#e4e4e4\"/><text x=\"" << margin - 6 << "\" y=\""
        << axes.y(value) + 4 << "\" text-anchor=\"end\">" << static_cast<int>(value) << "/s</text>\n";
  }
}

void write_events(std::ostream& out, const report_run& run, const plot_scale& axes) {
  for (const report_event& event : run.events) {
    if (event.elapsed_seconds < 0 || event.elapsed_seconds > axes.max_seconds) {
      continue;
    }
    out << "<circle cx=\"" << axes.x(event.elapsed_seconds) << "\" cy=\"" << plot_height - 14
        << "\" r=\"3\" fill=\"#444\" fill-opacity=\"0.5\"><title>" << event.elapsed_seconds << " s "
        << escape_html(event.host) << ": " << escape_html(event.text) << "</title></circle>\n";
  }
  out << "<text x=\"4\" y=\"" << plot_height - 10 << "\">events</text>\n";
}

void write_plot(std::ostream& out, const report_run& run, const plot_scale& axes) {
  out << "<svg width=\"" << plot_width << "\" height=\"" << plot_height << "\" role=\"img\">\n";
  write_axes(out, axes);
  for (int cls = 0; cls < call_class_count; ++cls) {
    write_band(out, run.result, axes, cls);
  }
  write_offered(out, run.result, axes);
  write_events(out, run, axes);
  out << "</svg>\n";
}

void write_table(std::ostream& out, const load_result& result) {
  out << "<table><tr><th>class</th><th>offered</th><th>answered</th><th>share</th><th>refused</"
         "th><th>unknown</th>"
         "<th>p50 ms</th><th>p99 ms</th></tr>\n";
  for (int i = 0; i < call_class_count; ++i) {
    const class_result& row = result.classes.at(static_cast<std::size_t>(i));
    const double share =
        row.offered == 0 ? 1 : static_cast<double>(row.answered) / static_cast<double>(row.offered);
    std::ostringstream cells;
    cells.precision(3);
    cells << "<tr><td><span style=\"color:" << class_colors.at(static_cast<std::size_t>(i))
          << "\">&#9632;</span> " << name_of(static_cast<call_class>(i)) << "</td><td>" << row.offered
          << "</td><td>" << row.answered << "</td><td>" << share << "</td><td>" << row.refused << "</td><td>"
          << row.unknown << "</td><td>" << row.p50_ms << "</td><td>" << row.p99_ms << "</td></tr>\n";
    out << cells.str();
  }
  out << "</table>\n";
}

}  // namespace

std::optional<load_result> from_json(const std::string& text) {
  boost::json::error_code error;
  const boost::json::value parsed = boost::json::parse(text, error);
  const boost::json::value* const classes = error ? nullptr : parsed.find_pointer("/classes", error);
  const boost::json::value* const seconds = error ? nullptr : parsed.find_pointer("/seconds", error);
  if (classes == nullptr || seconds == nullptr || !classes->is_object() || !seconds->is_array()) {
    return std::nullopt;
  }
  load_result result;
  for (int i = 0; i < call_class_count; ++i) {
    const char* const name = name_of(static_cast<call_class>(i));
    const boost::json::value* const from = classes->get_object().if_contains(name);
    if (from == nullptr || !from->is_object()) {
      return std::nullopt;
    }
    const boost::json::object& row = from->get_object();
    result.classes.at(static_cast<std::size_t>(i)) = {
        row.at("offered").to_number<long>(),  row.at("answered").to_number<long>(),
        row.at("unknown").to_number<long>(),  row.at("refused").to_number<long>(),
        row.at("p50_ms").to_number<double>(), row.at("p99_ms").to_number<double>()};
  }
  for (const boost::json::value& entry : seconds->get_array()) {
    second_result second;
    second.offered = entry.at("offered").to_number<long>();
    for (int i = 0; i < call_class_count; ++i) {
      second.answered.at(static_cast<std::size_t>(i)) =
          entry.at(name_of(static_cast<call_class>(i))).to_number<long>();
    }
    result.seconds.push_back(second);
  }
  return result;
}

std::string to_html(const std::vector<report_run>& runs) {
  // All plots have the same scale, so that the runs can be compared.
  plot_scale axes;
  for (const report_run& run : runs) {
    axes.max_seconds = std::max(axes.max_seconds, static_cast<double>(run.result.seconds.size()));
    for (const second_result& second : run.result.seconds) {
      axes.max_rate = std::max({axes.max_rate, static_cast<double>(second.offered),
                                cumulative_answered(second, call_class_count)});
    }
  }
  axes.max_rate = std::ceil(axes.max_rate / rate_axis_step) * rate_axis_step;
  std::ostringstream out;
  out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>nutmegarch "
         "load</title><style>\n"
         "body{font:14px sans-serif;margin:24px;color:#222}.runs{display:flex;flex-wrap:wrap;gap:24px}\n"
         "svg text{font:11px sans-serif;fill:#555}table{border-collapse:collapse}\n"
         "td,th{padding:2px 8px;font-size:13px;text-align:right;border-bottom:1px solid "
         "#ddd}td:first-child,th:first-child{text-align:left}\n"
         "</style></head><body>\n<h1>Load</h1>\n<p>Filled: answered in time by class, stacked. Line: "
         "offered. Dots: events "
         "of the fleet; point at one to read it.</p>\n<div class=\"runs\">\n";
  for (const report_run& run : runs) {
    out << "<section><h2>" << escape_html(run.title) << "</h2>\n";
    write_plot(out, run, axes);
    write_table(out, run.result);
    out << "</section>\n";
  }
  out << "</div></body></html>\n";
  return out.str();
}

}  // namespace nutmegarch::load
