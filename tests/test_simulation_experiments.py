"""Experiment files of the simulation: validation, repeatable runs, and variants of other versions."""

import subprocess

import orjson
import pytest
from simulation_helpers import ROOT, SMALL_EXPERIMENT

from pinspread.policy import dispatch, retry_budget
from pinspread.simulation.experiment import load_experiment
from pinspread.simulation.experiment_file import ExperimentError, RetryPaper
from pinspread.simulation.paper import recompute_figures
from pinspread.simulation.policy_sources import VariantError, constant_names, read_sources
from pinspread.simulation.runs import run_experiment
from pinspread.simulation.variants import ConstantOverrides


def test_the_same_file_gives_the_same_bytes_in_one_process_and_in_eight(tmp_path):
    (tmp_path / "x.toml").write_text(SMALL_EXPERIMENT)
    experiment = load_experiment(str(tmp_path / "x.toml"))
    for name, processes in (("one", 1), ("eight", 8)):
        run_experiment(experiment, str(tmp_path / name), processes, quiet=True)
    assert (tmp_path / "one/result.json").read_bytes() == (tmp_path / "eight/result.json").read_bytes()
    manifest = orjson.loads((tmp_path / "one/manifest.json").read_bytes())
    assert manifest["runs_done_now"] == 4 and manifest["versions"]["numpy"] and manifest["seeds"] == [1, 2]


def test_a_stopped_experiment_goes_on_where_it_was_and_a_cut_run_is_run_again(tmp_path):
    (tmp_path / "x.toml").write_text(SMALL_EXPERIMENT)
    experiment, out = load_experiment(str(tmp_path / "x.toml")), tmp_path / "out"
    run_experiment(experiment, str(out), 1, quiet=True)
    complete_result = (out / "result.json").read_bytes()
    files = sorted((out / "runs").iterdir())
    files[0].unlink()
    files[1].write_bytes(files[1].read_bytes()[:100])
    run_experiment(experiment, str(out), 1, quiet=True)
    assert orjson.loads((out / "manifest.json").read_bytes())["runs_done_now"] == 2
    assert (out / "result.json").read_bytes() == complete_result


def test_another_version_runs_in_a_process_of_its_own(tmp_path):
    for name, text in read_sources().items():
        (tmp_path / f"{name}.py").write_text(text.replace("BUCKET_CAP = 10.0", "BUCKET_CAP = 0.0"))
    appended = f'\n[[variant]]\nname = "other"\nmodule = "{tmp_path}"\n'
    file = tmp_path / "x.toml"
    file.write_text(
        SMALL_EXPERIMENT.replace("length_s = 4", 'length_s = 4\n[[world.trouble]]\nkind = "errors"\nat_s = 1')
        + appended
    )
    results = run_experiment(load_experiment(str(file)), str(tmp_path / "out"), 2, quiet=True)
    retries = {point["variant"]: sum(run["retries"] for run in point["runs"]) for point in results["points"]}
    assert retries["other"] == 0 < retries["as is"]
    assert retry_budget.BUCKET_CAP == 10


def test_a_version_from_before_the_policy_was_a_package_runs_and_decides_alike(tmp_path):
    if subprocess.run(["git", "-C", str(ROOT), "cat-file", "-e", "957e6f8"], capture_output=True).returncode:
        pytest.skip("a checkout without its history")
    appended = '\n[[variant]]\nname = "old"\nrevision = "957e6f8"\n'
    file = tmp_path / "x.toml"
    trouble = 'length_s = 8\n[[world.trouble]]\nkind = "crash"\nat_s = 1\nlength_s = 2\nshare = 1.0'
    file.write_text(SMALL_EXPERIMENT.replace("length_s = 4", trouble) + appended)
    results = run_experiment(load_experiment(str(file)), str(tmp_path / "out"), 2, quiet=True)
    runs_by_variant = {point["variant"]: point["runs"] for point in results["points"]}
    assert runs_by_variant["as is"] == runs_by_variant["old"] != runs_by_variant["few slots"]


def test_former_names_of_a_constant_reach_it_in_the_present_version_and_in_older_ones(monkeypatch):
    present = read_sources()
    older = {name: text.replace("MIN_PRIORITY", "LEAST_PRIORITY") for name, text in present.items()}
    assert {"MIN_PRIORITY", "LEAST_PRIORITY", "LEAST_WORTH"} <= constant_names(present)
    assert constant_names(present) - constant_names(older) == {"MIN_PRIORITY"}
    for key in ("MIN_PRIORITY", "LEAST_PRIORITY", "LEAST_WORTH"):
        with ConstantOverrides({key: 0.5}):
            assert dispatch.MIN_PRIORITY == 0.5
        assert dispatch.MIN_PRIORITY == 0.25
    monkeypatch.delattr(dispatch, "MIN_PRIORITY")
    monkeypatch.setattr(dispatch, "LEAST_PRIORITY", 0.25, raising=False)
    for key in ("LEAST_PRIORITY", "LEAST_WORTH"):
        with ConstantOverrides({key: 0.5}):
            assert dispatch.LEAST_PRIORITY == 0.5


def test_a_version_whose_fields_the_model_does_not_know_is_refused(tmp_path):
    for name, text in read_sources().items():
        (tmp_path / f"{name}.py").write_text(text.replace("class_index", "cls"))
    with pytest.raises(VariantError, match="MessageAccepted in events.py has no class_index"):
        read_sources(str(tmp_path))
    (tmp_path / "events.py").unlink()
    with pytest.raises(VariantError, match="holds no events.py; versions that can be run"):
        read_sources(str(tmp_path))


def test_a_revision_between_the_old_modules_and_the_present_fields_is_refused():
    if subprocess.run(["git", "-C", str(ROOT), "cat-file", "-e", "2404508"], capture_output=True).returncode:
        pytest.skip("a checkout without its history")
    with pytest.raises(VariantError, match="since revision 5dd2b39"):
        read_sources(revision="2404508")
    for revision in ("7bae582", "5dd2b39", "a552226"):
        assert read_sources(revision=revision)


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ("seeds = 2", "seeds = 0", "experiment.seeds"),
        ("calls_out", "calls_outt", ["variant[1]", " settings.calls_outt"][0]),
        ("settings = {", "constants = { NOPE = 1 }\nsettings = {", "constants.NOPE"),
        ('name = "few slots"', 'name = "as is"', "variant[1].name"),
        ("settings = {", 'revision = "no-such"\nsettings = {', "variant[1].revision"),
        ("settings = {", 'module = "nowhere"\nsettings = {', "variant[1].module"),
        ("[world]", "[worlds]", "worlds"),
        ("seeds = 2", "seeds = ", "x.toml"),
        ("calls_out = 2", 'calls_out = "two"', "settings.calls_out"),
        ("[experiment]", "trace = 'nowhere'\n[experiment]", "trace: "),
    ],
)
def test_a_bad_experiment_is_refused_with_its_place(old, new, place, tmp_path):
    file = tmp_path / "x.toml"
    file.write_text(SMALL_EXPERIMENT.replace(old, new, 1))
    with pytest.raises(ExperimentError) as caught:
        load_experiment(str(file))
    assert place in str(caught.value) and "x.toml" in str(caught.value)


@pytest.mark.parametrize("file", sorted((ROOT / "experiments").glob("*.toml")), ids=lambda path: path.name)
def test_the_experiment_files_are_valid(file):
    text = file.read_text()
    if "revision" in text and subprocess.run(["git", "-C", ROOT, "cat-file", "-e", "360bbd6"]).returncode:
        pytest.skip("a checkout without its history")
    load_experiment(str(file))


def test_the_papers_figures():
    results = recompute_figures(RetryPaper(), range(200))
    for randomness, published in (("0.01", 35), ("0.5", 5)):
        low, high = results["randomness"][randomness]["last_retry_5_95"]
        assert low <= published <= high
    assert results["chain"] == 81 and results["chain_with_empty_buckets"] == 1
