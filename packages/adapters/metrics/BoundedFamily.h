#pragma once

#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/labels.h>

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <string>
#include <type_traits>
#include <utility>

namespace mustardshift {

/** One family of metrics whose main label, the subject, takes a bounded number of values. Names
    come from operators and, through them, from a growing business; without a bound, one label could
    exhaust a VM's memory. Subjects beyond the bound are counted together as "other"; for gauges,
    where a sum would mean nothing, they are left out.

    Thread safety: all methods may be called from any thread. */
template<class Metric>
class BoundedFamily
{
public:
  /** @param aFamily           family to add to; has to outlive this object.
      @param aSubjectLabel     name of the main label.
      @param aMaximumSubjects  bound on its values.
      @param aArguments        constructor arguments of each metric, such as bucket bounds. */
  template<class... Arguments>
  BoundedFamily(prometheus::Family<Metric>& aFamily,
                std::string aSubjectLabel,
                std::size_t aMaximumSubjects,
                const Arguments&... aArguments)
    : family(aFamily)
    , subjectLabel(std::move(aSubjectLabel))
    , maximumSubjects(aMaximumSubjects)
    , add([&aFamily, aArguments...](const prometheus::Labels& aLabels) -> Metric& {
      return aFamily.Add(aLabels, aArguments...);
    })
  {
  }

  /** Calls aChange with the metric of a subject.
      @param aLabels  further labels, whose values come from an enumeration. */
  template<class Change>
  void Apply(const std::string& aSubject, const prometheus::Labels& aLabels, Change aChange)
  {
    const Key key{ aSubject, aLabels };
    {
      const std::shared_lock lock(this->mutex);
      const auto metric = this->metrics.find(key);
      if (metric != this->metrics.end()) {
        aChange(*metric->second);
        return;
      }
    }
    const std::unique_lock lock(this->mutex);
    if (this->subjects.contains(aSubject) || this->subjects.size() < this->maximumSubjects) {
      this->subjects.insert(aSubject);
      aChange(this->MetricOf(key));
      return;
    }
    if constexpr (!std::is_same_v<Metric, prometheus::Gauge>) {
      aChange(this->MetricOf(Key{ "other", aLabels }));
    }
  }

  /** Removes the metrics of all other subjects, such as organisations that no longer exist. */
  void Retain(const std::set<std::string>& aSubjects)
  {
    const std::unique_lock lock(this->mutex);
    for (auto metric = this->metrics.begin(); metric != this->metrics.end();) {
      if (aSubjects.contains(metric->first.first) ||
          !this->subjects.contains(metric->first.first)) {
        ++metric;
        continue;
      }
      this->family.Remove(metric->second);
      metric = this->metrics.erase(metric);
    }
    std::erase_if(this->subjects,
                  [&](const std::string& aSubject) { return !aSubjects.contains(aSubject); });
  }

private:
  using Key = std::pair<std::string, prometheus::Labels>;

  Metric& MetricOf(const Key& aKey)
  {
    const auto known = this->metrics.find(aKey);
    if (known != this->metrics.end()) {
      return *known->second;
    }
    prometheus::Labels labels = aKey.second;
    labels[this->subjectLabel] = aKey.first;
    Metric& metric = this->add(labels);
    this->metrics[aKey] = &metric;
    return metric;
  }

  prometheus::Family<Metric>& family;
  std::string subjectLabel;
  std::size_t maximumSubjects;
  std::function<Metric&(const prometheus::Labels&)> add;
  std::shared_mutex mutex;
  std::map<Key, Metric*> metrics;
  /** Subjects with metrics of their own. "other" is among them only if a subject has that name. */
  std::set<std::string> subjects;
};

} // namespace mustardshift
