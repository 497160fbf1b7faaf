#include "nutmegarch/rules/rule_file.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

namespace nutmegarch::rules {

namespace {

/// Keys of the arguments of a rule.
enum class rule_key : std::uint8_t {
  service,
  route,
  caller,
  cls,
  above,
  concurrency,
  rate,
  budget,
  state,
  after,
  fingerprint,
  host,
  weight
};

struct key_spec {
  rule_key key;
  const char* name;
};

constexpr std::array<key_spec, 13> key_specs = {{{rule_key::service, "service"},
                                                 {rule_key::route, "route"},
                                                 {rule_key::caller, "caller"},
                                                 {rule_key::cls, "class"},
                                                 {rule_key::above, "above"},
                                                 {rule_key::concurrency, "concurrency"},
                                                 {rule_key::rate, "rate"},
                                                 {rule_key::budget, "budget"},
                                                 {rule_key::state, "state"},
                                                 {rule_key::after, "after"},
                                                 {rule_key::fingerprint, "fingerprint"},
                                                 {rule_key::host, "host"},
                                                 {rule_key::weight, "weight"}}};

struct kind_spec {
  rule_kind kind;
  const char* name;
  std::vector<rule_key> required;
  std::vector<rule_key> optional;
};

const std::vector<kind_spec>& kind_specs() {
  static const std::vector<kind_spec> specs = {
      {rule_kind::shed,
       "shed",
       {rule_key::service, rule_key::above},
       {rule_key::route, rule_key::caller, rule_key::cls}},
      {rule_kind::limit,
       "limit",
       {rule_key::service},
       {rule_key::route, rule_key::caller, rule_key::concurrency, rule_key::rate}},
      {rule_kind::retry, "retry", {rule_key::service, rule_key::budget}, {rule_key::route}},
      {rule_kind::hedge, "hedge", {rule_key::service, rule_key::state}, {rule_key::route}},
      {rule_kind::timeout, "timeout", {rule_key::service, rule_key::after}, {rule_key::route}},
      {rule_kind::quarantine, "quarantine", {rule_key::fingerprint}, {rule_key::service}},
      {rule_kind::drain, "drain", {rule_key::host}, {}},
      {rule_kind::weigh, "weigh", {rule_key::host, rule_key::weight}, {}},
      {rule_kind::order, "order", {rule_key::service, rule_key::route}, {}},
      {rule_kind::call_class,
       "class",
       {rule_key::service, rule_key::cls},
       {rule_key::route, rule_key::caller}}};
  return specs;
}

const char* name_of_key(rule_key key) { return key_specs.at(static_cast<std::size_t>(key)).name; }

/// A word of a line and its column, from 1.
struct token {
  std::string_view text;
  int column = 0;
};

std::vector<token> split_words(std::string_view line) {
  std::vector<token> words;
  std::size_t begin = 0;
  while (begin < line.size()) {
    begin = line.find_first_not_of(" \t\r", begin);
    if (begin == std::string_view::npos) {
      break;
    }
    const std::size_t end = std::min(line.find_first_of(" \t\r", begin), line.size());
    words.push_back({line.substr(begin, end - begin), static_cast<int>(begin) + 1});
    begin = end;
  }
  return words;
}

std::string_view trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(" \t\r");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text, int base = 10) {
  Number value{};
  std::from_chars_result parsed{};
  if constexpr (std::is_floating_point_v<Number>) {
    parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  } else {
    parsed = std::from_chars(text.data(), text.data() + text.size(), value, base);
  }
  const bool is_complete = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return is_complete ? std::optional<Number>(value) : std::nullopt;
}

/// Parses the lines of one file and collects all errors.
class file_parser {
 public:
  result<rule_file, std::vector<rule_error>> parse(std::string_view text) {
    file_.text = std::string(text);
    int number = 0;
    while (!text.empty()) {
      const std::size_t end = std::min(text.find('\n'), text.size());
      line_ = ++number;
      parse_line(text.substr(0, end));
      text.remove_prefix(std::min(end + 1, text.size()));
    }
    if (!has_version_ && errors_.empty()) {
      errors_.push_back({1, 1, "the file has no line \"version NUMBER\""});
    }
    if (!errors_.empty()) {
      return errors_;
    }
    return std::move(file_);
  }

 private:
  void fail(int column, std::string message) { errors_.push_back({line_, column, std::move(message)}); }

  void parse_line(std::string_view line) {
    const std::size_t hash = line.find('#');
    const std::string_view content = trim(line.substr(0, hash));
    if (content.empty()) {
      return;
    }

    // The comment must name who asked for the rule and why.
    rule parsed_rule;
    parsed_rule.line = line_;
    parsed_rule.text = std::string(content);
    const std::string_view comment =
        hash == std::string_view::npos ? std::string_view{} : line.substr(hash + 1);
    const int comment_column = static_cast<int>(hash == std::string_view::npos ? line.size() : hash) + 1;
    parse_comment(comment, comment_column, parsed_rule);

    const std::vector<token> words = split_words(line.substr(0, hash));
    if (words.front().text == "version") {
      parse_version(words);
      return;
    }
    const kind_spec* const spec = find_kind(words.front().text);
    if (spec == nullptr) {
      fail(words.front().column, "unknown rule \"" + std::string(words.front().text) + "\"");
      return;
    }
    parsed_rule.kind = spec->kind;
    parse_keys(words, *spec, parsed_rule);
    file_.rules.push_back(std::move(parsed_rule));
  }

  void parse_comment(std::string_view comment, int column, rule& parsed_rule) {
    const std::size_t who = comment.find("who:");
    const std::size_t why = comment.find("why:");
    if (who != std::string_view::npos) {
      const std::size_t end = why != std::string_view::npos && why > who ? why : comment.size();
      parsed_rule.who = std::string(trim(comment.substr(who + 4, end - who - 4)));
    }
    if (why != std::string_view::npos) {
      const std::size_t end = who != std::string_view::npos && who > why ? who : comment.size();
      parsed_rule.why = std::string(trim(comment.substr(why + 4, end - why - 4)));
    }
    if (parsed_rule.who.empty()) {
      fail(column, "the comment does not say \"who: NAME\"");
    }
    if (parsed_rule.why.empty()) {
      fail(column, "the comment does not say \"why: REASON\"");
    }
  }

  void parse_version(const std::vector<token>& words) {
    if (has_version_) {
      fail(words.front().column, "a second version line");
      return;
    }
    has_version_ = true;
    const std::optional<std::uint64_t> version =
        words.size() == 2 ? parse_number<std::uint64_t>(words.at(1).text) : std::nullopt;
    if (!version || *version == 0) {
      fail(words.back().column, "expected \"version NUMBER\" with a number of at least 1");
      return;
    }
    file_.version = *version;
  }

  static const kind_spec* find_kind(std::string_view name) {
    for (const kind_spec& spec : kind_specs()) {
      if (name == spec.name) {
        return &spec;
      }
    }
    return nullptr;
  }

  void parse_keys(const std::vector<token>& words, const kind_spec& spec, rule& parsed_rule) {
    std::set<rule_key> seen;
    for (std::size_t i = 1; i < words.size(); ++i) {
      const std::size_t equals = words.at(i).text.find('=');
      const std::string_view name = words.at(i).text.substr(0, equals);
      auto found = std::find_if(key_specs.begin(), key_specs.end(),
                                [&](const key_spec& known) { return name == known.name; });
      if (equals == std::string_view::npos || found == key_specs.end() || !is_allowed(spec, found->key)) {
        fail(words.at(i).column, "\"" + std::string(name) + "\" is no key of the rule " + spec.name);
        continue;
      }
      if (!seen.insert(found->key).second) {
        fail(words.at(i).column, "the key " + std::string(name) + " stands twice");
        continue;
      }
      const token value{words.at(i).text.substr(equals + 1),
                        words.at(i).column + static_cast<int>(equals) + 1};
      parse_value(found->key, value, parsed_rule);
    }
    check_presence(words, spec, seen);
  }

  static bool is_allowed(const kind_spec& spec, rule_key key) {
    return std::count(spec.required.begin(), spec.required.end(), key) != 0 ||
           std::count(spec.optional.begin(), spec.optional.end(), key) != 0;
  }

  void check_presence(const std::vector<token>& words, const kind_spec& spec,
                      const std::set<rule_key>& seen) {
    for (const rule_key key : spec.required) {
      if (seen.count(key) == 0) {
        fail(words.front().column,
             std::string("the rule ") + spec.name + " needs the key " + name_of_key(key));
      }
    }
    if (spec.kind == rule_kind::limit &&
        seen.count(rule_key::concurrency) + seen.count(rule_key::rate) != 1) {
      fail(words.front().column, "the rule limit needs one of the keys concurrency and rate");
    }
  }

  void parse_value(rule_key key, const token& value, rule& parsed_rule) {
    if (value.text.empty()) {
      fail(value.column, std::string("the key ") + name_of_key(key) + " has no value");
      return;
    }
    switch (key) {
      case rule_key::service:
        parsed_rule.service = value.text == "*" ? std::string() : std::string(value.text);
        break;
      case rule_key::route:
        parse_route(value, parsed_rule);
        break;
      case rule_key::caller:
        parsed_rule.caller = std::string(value.text);
        break;
      case rule_key::host:
        parsed_rule.host = std::string(value.text);
        break;
      case rule_key::cls:
        parsed_rule.cls = call_class_of(std::string(value.text));
        expect(parsed_rule.cls.has_value(), value, "order, important or browse");
        break;
      case rule_key::state:
        parsed_rule.enabled = value.text == "on";
        expect(value.text == "on" || value.text == "off", value, "on or off");
        break;
      default:
        parse_quantity(key, value, parsed_rule);
    }
  }

  void parse_route(const token& value, rule& parsed_rule) {
    parsed_rule.route = std::string(value.text);
    expect(value.text.front() == '/', value, "a path that starts with /");
    const std::size_t star = value.text.find('*');
    expect(star == std::string_view::npos || star + 1 == value.text.size(), value, "* at the end only");
  }

  void parse_quantity(rule_key key, const token& value, rule& parsed_rule) {
    switch (key) {
      case rule_key::above: {
        const bool is_percent = value.text.back() == '%';
        const std::optional<double> number =
            parse_number<double>(is_percent ? value.text.substr(0, value.text.size() - 1) : value.text);
        parsed_rule.above = number.value_or(0) / (is_percent ? 100 : 1);
        expect(number && parsed_rule.above >= 0 && parsed_rule.above <= 10, value,
               "a load from 0 to 10, or in %");
        break;
      }
      case rule_key::concurrency:
        parsed_rule.concurrency = parse_number<int>(value.text);
        expect(parsed_rule.concurrency && *parsed_rule.concurrency >= 0, value, "a number of calls");
        break;
      case rule_key::rate: {
        const bool has_unit = value.text.size() > 2 && value.text.substr(value.text.size() - 2) == "/s";
        parsed_rule.rate =
            has_unit ? parse_number<double>(value.text.substr(0, value.text.size() - 2)) : std::nullopt;
        expect(parsed_rule.rate && *parsed_rule.rate >= 0, value, "calls a second, as 50/s");
        break;
      }
      case rule_key::budget: {
        const std::optional<int> number = parse_number<int>(value.text);
        parsed_rule.budget = number.value_or(0);
        expect(number && parsed_rule.budget >= 0 && parsed_rule.budget <= 100, value,
               "a number of retries from 0 to 100");
        break;
      }
      case rule_key::after: {
        const std::optional<duration> length = parse_duration(value.text);
        parsed_rule.after = length.value_or(duration{});
        expect(length && *length > duration{}, value, "a duration with its unit, as 250ms");
        break;
      }
      case rule_key::fingerprint: {
        const std::optional<std::uint64_t> number = parse_number<std::uint64_t>(value.text, 16);
        parsed_rule.fingerprint = number.value_or(0);
        expect(number.has_value(), value, "a fingerprint in hexadecimal");
        break;
      }
      default: {
        const std::optional<double> number = parse_number<double>(value.text);
        parsed_rule.weight = number.value_or(1);
        expect(number && parsed_rule.weight >= 0 && parsed_rule.weight <= 10, value, "a weight from 0 to 10");
      }
    }
  }

  void expect(bool holds, const token& value, const std::string& expected) {
    if (!holds) {
      fail(value.column, "expected " + expected + ", found \"" + std::string(value.text) + "\"");
    }
  }

  rule_file file_;
  std::vector<rule_error> errors_;
  int line_ = 0;
  bool has_version_ = false;
};

}  // namespace

const char* name_of(rule_kind kind) {
  for (const kind_spec& spec : kind_specs()) {
    if (spec.kind == kind) {
      return spec.name;
    }
  }
  return "";
}

result<rule_file, std::vector<rule_error>> parse_rule_file(std::string_view text) {
  return file_parser().parse(text);
}

std::string to_text(const rule_error& error, const std::string& file_name) {
  return file_name + ':' + std::to_string(error.line) + ':' + std::to_string(error.column) +
         ": error: " + error.message;
}

std::vector<rule> removed_rules(const rule_file& from, const rule_file& to) {
  std::set<std::string> kept;
  for (const rule& present : to.rules) {
    kept.insert(present.text);
  }
  std::vector<rule> removed;
  for (const rule& past : from.rules) {
    if (kept.count(past.text) == 0) {
      removed.push_back(past);
    }
  }
  return removed;
}

std::optional<duration> parse_duration(std::string_view text) {
  struct unit {
    std::string_view name;
    double seconds;
  };
  constexpr std::array<unit, 5> units = {{{"us", 1e-6}, {"ms", 1e-3}, {"min", 60}, {"s", 1}, {"h", 3600}}};
  for (const unit& known : units) {
    if (text.size() <= known.name.size() || text.substr(text.size() - known.name.size()) != known.name) {
      continue;
    }
    const std::optional<double> number =
        parse_number<double>(text.substr(0, text.size() - known.name.size()));
    if (number && *number >= 0) {
      return from_seconds(*number * known.seconds);
    }
  }
  return std::nullopt;
}

}  // namespace nutmegarch::rules
