#include "jobs/job_record.h"

namespace carobmast::jobs {

proto::Step EncodeStep(const StepSpec& step) {
  proto::Step record;
  record.set_count(step.count);
  record.set_milli_cpus(step.need.milli_cpus);
  record.set_memory_bytes(step.need.memory.bytes);
  record.set_accelerators(step.need.accelerators);
  record.set_estimate_ms(static_cast<std::uint64_t>(step.estimate.count()));
  for (const std::uint32_t before : step.depends_on) {
    record.add_depends_on(before);
  }
  record.set_checkpoints(step.checkpoints);
  record.set_gang(step.gang);
  record.set_same_rack(step.same_rack);
  record.set_required_label(step.required_label);
  record.set_preferred_rack(step.preferred_rack);
  record.set_max_per_worker(step.max_per_worker);
  record.set_speculative(step.speculative);
  record.set_standing(step.standing);
  record.set_image(step.image);
  record.set_latency_target_ms(
      static_cast<std::uint64_t>(step.latency_target.count()));
  record.set_fills(step.fills);
  if (step.max_away.has_value()) record.set_max_away(*step.max_away);
  return record;
}

StepSpec DecodeStep(const proto::Step& record) {
  StepSpec step;
  step.count = record.count();
  step.need = {.milli_cpus = record.milli_cpus(),
               .memory = {record.memory_bytes()},
               .accelerators = record.accelerators()};
  step.estimate = std::chrono::milliseconds(record.estimate_ms());
  step.depends_on.assign(record.depends_on().begin(),
                         record.depends_on().end());
  step.checkpoints = record.checkpoints();
  step.gang = record.gang();
  step.same_rack = record.same_rack();
  step.required_label = record.required_label();
  step.preferred_rack = record.preferred_rack();
  step.max_per_worker = record.max_per_worker();
  step.speculative = record.speculative();
  step.standing = record.standing();
  step.image = record.image();
  step.latency_target = std::chrono::milliseconds(record.latency_target_ms());
  step.fills = record.fills();
  if (record.has_max_away()) step.max_away = record.max_away();
  return step;
}

proto::Policy EncodePolicy(const QueuePolicy& policy) {
  proto::Policy record;
  record.set_priority(policy.priority);
  record.set_max_attempts(policy.max_attempts);
  record.set_stretch(policy.stretch);
  record.set_target_latency_ms(
      static_cast<std::uint64_t>(policy.target_latency.count()));
  if (policy.advice.has_value()) {
    proto::Advice& advice = *record.mutable_advice();
    advice.set_decide_ms(
        static_cast<std::uint64_t>(policy.advice->decide.count()));
    advice.set_each_ms(static_cast<std::uint64_t>(policy.advice->each.count()));
    advice.set_valid_ms(
        static_cast<std::uint64_t>(policy.advice->valid.count()));
  }
  return record;
}

QueuePolicy DecodePolicy(const proto::Job& job) {
  const proto::Policy& record = job.policy();
  QueuePolicy policy{
      .name = job.queue(),
      .pool = job.pool(),
      .priority = record.priority(),
      .max_attempts = record.max_attempts(),
      .stretch = record.stretch(),
      .target_latency = std::chrono::milliseconds(record.target_latency_ms())};
  if (record.has_advice()) {
    const proto::Advice& advice = record.advice();
    policy.advice = {.decide = std::chrono::milliseconds(advice.decide_ms()),
                     .each = std::chrono::milliseconds(advice.each_ms()),
                     .valid = std::chrono::milliseconds(advice.valid_ms())};
  }
  return policy;
}

proto::Job EncodeSpec(const JobSpec& spec) {
  proto::Job record;
  record.set_text(spec.text);
  for (const StepSpec& step : spec.steps) {
    *record.add_steps() = EncodeStep(step);
  }
  record.set_occurrences(spec.occurrences);
  record.set_first_due_ms(spec.first_due.time_since_epoch().count());
  record.set_interval_ms(static_cast<std::uint64_t>(spec.interval.count()));
  return record;
}

JobSpec DecodeSpec(const proto::Job& record) {
  JobSpec spec;
  spec.text = record.text();
  for (const proto::Step& step : record.steps()) {
    spec.steps.push_back(DecodeStep(step));
  }
  spec.occurrences = record.occurrences();
  spec.first_due = WallTime(std::chrono::milliseconds(record.first_due_ms()));
  spec.interval = std::chrono::milliseconds(record.interval_ms());
  return spec;
}

std::string CheckSpec(const JobSpec& spec) {
  if (spec.steps.empty()) return "a job has at least one step";
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    const std::string name = "step " + std::to_string(i);
    if (step.count == 0) return name + " has no task";
    tasks += step.count;
    for (const std::uint32_t before : step.depends_on) {
      if (before >= i) return name + " depends on no earlier step";
    }
  }
  if (tasks > kMaxTasksPerJob) return "too many tasks";
  return "";
}

const char* StateName(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "queued";
}

}  // namespace carobmast::jobs
